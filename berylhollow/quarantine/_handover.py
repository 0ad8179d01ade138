"""Hand crashes over to a process that starts, and take them over there.

Clocks differ, so times go as ages. The process that starts counts each crash
at the time of the crash.
"""

import dataclasses
import heapq

from berylhollow import messages
from berylhollow.quarantine import _keys
from berylhollow.quarantine import _records
from berylhollow.quarantine import _suspects

MAX_SENT_RUNS = 32
"""Runs in one message, each of up to 100 bytes on the link."""


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """What became of a crash that was handed over.

    ``counted`` are the fingerprints that it was new for, ``quarantined`` and
    ``withdrawn`` those whose quarantine it begins and disproves.
    """

    crash: _records.Crash
    counted: tuple[str, ...]
    quarantined: tuple[str, ...] = ()
    withdrawn: tuple[str, ...] = ()


def kept_crashes(
    suspects: _suspects.Suspects, at_ms: int, most_runs: int
) -> tuple[messages.KeptCrash, ...]:
    """Return the crashes behind the suspicions in force, oldest first.

    At most ``most_runs`` runs: those of the requests with most crashes.
    """
    suspects.forget_expired(at_ms)
    runs: dict[str, dict[str, _suspects.Loss]] = {}
    count = 0
    for fingerprint in _most_suspect(suspects, most_runs):
        losses = suspects.suspicions[fingerprint].losses
        for crash_id, loss in reversed(losses.items()):
            ended = _records.ended_epoch(crash_id)
            if count < most_runs:
                runs.setdefault(ended, {})[fingerprint] = loss
                count += 1
    kept = [_kept(suspects, ended, runs[ended], at_ms) for ended in runs]
    return tuple(sorted(kept, key=lambda x: x.lost_ms_ago, reverse=True))


def take_over(
    suspects: _suspects.Suspects, kept: messages.KeptCrash, at_ms: int
) -> Taken:
    """Count a crash that was handed over, unless it is known.

    What became of a request that is known to have run there, such as its
    clearing, is known as well.
    """
    lost_ms = at_ms - max(0, kept.lost_ms_ago)
    end = suspects.note_end(kept.ended, lost_ms)
    end.had_others = end.had_others or kept.had_others
    new = [
        (fingerprint, run)
        for fingerprint, run in zip(kept.fingerprints, kept.runs, strict=False)
        if fingerprint not in end.fingerprints
    ]
    counted = tuple(fingerprint for fingerprint, _ in new)
    lost = tuple(run for _, run in new)
    crash = _records.Crash(kept.ended, kept.service, counted, lost)
    quarantined = suspects.count_crash(crash, lost_ms, at_ms, is_own=True)
    withdrawn = suspects.withdraw(crash, lost_ms)
    return Taken(crash, counted, tuple(quarantined), tuple(withdrawn))


def _most_suspect(suspects: _suspects.Suspects, most: int) -> list[str]:
    """Return the fingerprints with most crashes, then the latest ones."""
    return heapq.nlargest(
        most,
        suspects.suspicions,
        key=lambda x: (
            len(suspects.suspicions[x].losses),
            suspects.suspicions[x].forget_at_ms,
        ),
    )


def _kept(
    suspects: _suspects.Suspects,
    ended: str,
    losses: dict[str, _suspects.Loss],
    at_ms: int,
) -> messages.KeptCrash:
    end = suspects.ends.get(ended)
    if end is None:
        # Dropped for later ends: what else ran there is not known any more.
        first_lost_ms = min(loss.lost_ms for loss in losses.values())
        end = _suspects.End(first_lost_ms, had_others=True)
    return messages.KeptCrash(
        ended,
        suspects.suspicions[next(iter(losses))].service,
        at_ms - end.first_lost_ms,
        tuple(losses),
        tuple(_run(loss, at_ms) for loss in losses.values()),
        end.had_others or _has_more(end, losses),
    )


def _has_more(end: _suspects.End, losses: dict[str, _suspects.Loss]) -> bool:
    """Tell whether other requests ran there than those of the losses."""
    whole = _keys.whole_requests(end.fingerprints)
    return any(fingerprint not in losses for fingerprint in whole)


def _run(loss: _suspects.Loss, at_ms: int) -> messages.LostRun:
    began_ms = loss.lost_ms if loss.began_ms is None else loss.began_ms
    return messages.LostRun(
        loss.crashes_known,
        at_ms - began_ms,
        at_ms - loss.lost_ms,
        loss.is_probe,
    )
