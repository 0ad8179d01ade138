"""Requests suspected of crashing endpoints, and those in quarantine.

Parts of prompts are suspected and quarantined in the same way, under keys of
their own. What is said of fingerprints holds for them, unless it is limited.

Endpoints of a failure domain that fails are lost together, with all runs of a
request that many callers send. Such losses say no more than one crash does.
Crashes therefore count up only if the run lost in the later one was a probe:
the only one under way, sent after an earlier loss. Reports of older processes
don't tell. Theirs count up if the run began when the earlier crash was over:
its reporter knew of it, or the earlier run had been lost
``Rules.together_ms`` before.
"""

import collections.abc
import dataclasses
import itertools

from berylhollow import messages
from berylhollow.quarantine import _keys
from berylhollow.quarantine import _records
from berylhollow.util import bounded

MAX_DOUBLINGS = 6
MAX_LOSSES = 32
"""Of one fingerprint; a culprit is quarantined after far fewer."""

MAX_COMPARED = 64
"""Oldest suspicions of which one is dropped beyond the limit."""

LEAST_RUN_MS = 20
"""A run that is lost earlier may have met a closed port, behind a proxy that
accepts connections for an endpoint that has ended."""

MAX_ENDS = 512
"""Ends of endpoints whose runs are remembered."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """When a suspect is quarantined; durations in milliseconds.

    A crash while the request ran alone quarantines it if it has
    ``crashes_alone`` crashes by then: a single one may have had another
    cause. A crash while it ran beside others quarantines it if it has
    ``crashes``. A suspicion is forgotten after ``suspect_ms`` without a
    crash. At most ``limit`` suspicions are kept. Endpoints that fail together
    are lost within ``together_ms``; reports of other processes take up to
    ``report_delay_ms``.

    A run that ends well clears a request. Where several endpoints ended under
    it alone it takes ``successes`` without a loss between.
    """

    crashes_alone: int = 2
    crashes: int = 3
    together_ms: int = 100
    report_delay_ms: int = 400
    suspect_ms: int = 600_000
    quarantine_ms: int = 600_000
    limit: int = 10_000
    successes: int = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """A run that was lost, in the time of the process that counts it.

    ``began_ms`` is None if the report does not say it; such a run counts as
    begun after all others were lost. ``crashes_known`` is how many crashes
    its sender knew of when it began; ``is_probe`` is None if that is not
    known. ``ran_ms`` is how long it ran, whatever the delay of the report.
    """

    began_ms: int | None
    lost_ms: int
    crashes_known: int = 0
    is_probe: bool | None = None
    ran_ms: int = 0

    def merge_of_part(self, other: 'Loss') -> 'Loss':
        """Return what two runs with one part say together.

        A probe for the part says most: the other run may have begun to write
        on it long before.
        """
        if self.is_probe or other.is_probe:
            return self if self.is_probe else other
        return self.merge(other)

    def merge(self, other: 'Loss') -> 'Loss':
        """Return what two runs that one crash interrupted say together.

        The crash follows an earlier one only if both runs do.
        """
        if self.began_ms is None or other.began_ms is None:
            return self
        return Loss(
            min(self.began_ms, other.began_ms),
            min(self.lost_ms, other.lost_ms),
            min(self.crashes_known, other.crashes_known),
            _both(self.is_probe, other.is_probe),
            min(self.ran_ms, other.ran_ms),
        )


@dataclasses.dataclass(slots=True)
class Suspicion:
    """The crashes and quarantines of one key.

    ``losses`` has an entry for each crash, under the id of its first report.
    ``counted`` is the number of crashes at the last quarantine, ``basis`` the
    endpoint's epoch whose end caused it.
    """

    service: str
    forget_at_ms: int = 0
    losses: dict[str, Loss] = dataclasses.field(default_factory=dict)
    until_ms: int = 0
    quarantines: int = 0
    counted: int = 0
    basis: str = ''
    is_part: bool = False

    @property
    def crash_ids(self) -> set[str]:
        """The first report of each crash."""
        return set(self.losses)

    def loss_at(self, ended: str) -> Loss | None:
        """Return the loss at an end, None if there is none."""
        for crash_id, loss in self.losses.items():
            if _records.ended_epoch(crash_id) == ended:
                return loss
        return None

    def strength(self, until_ms: int) -> int:
        """Return how many ends one after the other are known by a time."""
        return 1 + sum(
            bool(loss.is_probe) and loss.lost_ms <= until_ms
            for loss in self.losses.values()
        )

    def add_loss(self, crash_id: str, loss: Loss) -> bool:
        """Add a report; return whether it is the first of its crash."""
        ended = _records.ended_epoch(crash_id)
        for reported, known in self.losses.items():
            if _records.ended_epoch(reported) == ended:
                merge = known.merge_of_part if self.is_part else known.merge
                self.losses[reported] = merge(loss)
                return False
        self.losses[crash_id] = loss
        bounded.drop_oldest(self.losses, MAX_LOSSES)
        return True


@dataclasses.dataclass(slots=True)
class End:
    """The end of an endpoint's epoch, as all reports of it so far say.

    ``first_lost_ms`` is when the first run was lost there; runs that began
    later did not end it. ``fingerprints`` are the requests that ran there; one
    gateway knows only its own. ``had_others`` says whether more ran there,
    whose fingerprints are not known. ``probes`` are those of probes.
    """

    first_lost_ms: int
    fingerprints: set[str] = dataclasses.field(default_factory=set)
    probes: set[str] = dataclasses.field(default_factory=set)
    had_others: bool = False


@dataclasses.dataclass(slots=True)
class Suspects:
    """Suspicions by fingerprint; their number is bounded.

    ``ends`` has the ends of endpoints by epoch.
    """

    rules: Rules
    suspicions: dict[str, Suspicion] = dataclasses.field(default_factory=dict)
    ends: dict[str, End] = dataclasses.field(default_factory=dict)

    def count_crash(
        self,
        crash: _records.Crash,
        at_ms: int,
        reported_ms: int | None = None,
        is_own: bool = False,
    ) -> list[str]:
        """Count a crash; return the fingerprints that it quarantines.

        ``reported_ms`` is when the report was made, if not now. An own report
        was not delayed on its way.
        """
        delay_ms = 0 if is_own else self.rules.report_delay_ms
        made_ms = at_ms if reported_ms is None else reported_ms
        ended = _records.ended_epoch(crash.crash_id)
        losses = [
            _loss(crash.run(index), made_ms, delay_ms)
            for index in range(len(crash.fingerprints))
        ]
        self._note_end(crash, losses)
        quarantined = []
        for fingerprint, loss in zip(crash.fingerprints, losses, strict=True):
            suspicion = self.suspicions.get(fingerprint)
            if suspicion is None or at_ms >= suspicion.forget_at_ms:
                is_part = _keys.is_part(fingerprint)
                suspicion = Suspicion(crash.service, is_part=is_part)
                self.suspicions[fingerprint] = suspicion
            is_first = suspicion.add_loss(crash.crash_id, loss)
            if not (is_first or suspicion.is_part):
                continue
            if self._quarantine(fingerprint, ended, at_ms):
                quarantined.append(fingerprint)
        self._drop_surplus()
        return quarantined

    def _drop_surplus(self) -> None:
        """Drop old suspicions beyond the limit, those of one crash first."""
        suspicions = self.suspicions
        while len(suspicions) > self.rules.limit:
            oldest = list(itertools.islice(suspicions, MAX_COMPARED))
            single = (x for x in oldest if len(suspicions[x].losses) < 2)
            del suspicions[next(single, oldest[0])]

    def withdraw(self, crash: _records.Crash, at_ms: int) -> list[str]:
        """Withdraw the quarantines that a further report disproves.

        The reports of a crash before named the request as the only one there,
        or with a run that began later. Returns the fingerprints.
        """
        ended = _records.ended_epoch(crash.crash_id)
        withdrawn = []
        end = self.ends.get(ended)
        for fingerprint in end.fingerprints if end else ():
            suspicion = self.suspicions.get(fingerprint)
            if suspicion is None or suspicion.basis != ended:
                continue
            if self.crashes(fingerprint) >= self._threshold(
                fingerprint, ended
            ):
                continue
            suspicion.until_ms = 0
            suspicion.counted = 0
            suspicion.basis = ''
            suspicion.quarantines -= 1
            suspicion.forget_at_ms = at_ms + self.rules.suspect_ms
            withdrawn.append(fingerprint)
        return withdrawn

    def crashes(self, fingerprint: str) -> int:
        """Return how many crashes, one after the other, a request was in."""
        suspicion = self.suspicions.get(fingerprint)
        if suspicion is None:
            return 0
        losses = [
            (self._counted_ms(crash_id, loss), loss)
            for crash_id, loss in suspicion.losses.items()
            if not self._is_explained(fingerprint, crash_id, loss)
        ]
        losses.sort(key=lambda x: x[0])
        count = most_known = 0
        follows_ms = None
        for ended_ms, loss in losses:
            if loss.is_probe is not None:
                is_later = loss.is_probe and loss.crashes_known > 0
                if count == 0 or (is_later and loss.began_ms <= ended_ms):
                    count += 1
                    follows_ms = ended_ms + self.rules.together_ms
                continue
            began_ms = loss.began_ms
            if began_ms is not None:
                if began_ms <= ended_ms:
                    most_known = max(most_known, loss.crashes_known)
                began_ms = min(began_ms, ended_ms)
                if follows_ms is not None and began_ms < follows_ms:
                    continue
            count += 1
            follows_ms = ended_ms + self.rules.together_ms
        return max(count, most_known + 1)

    def _is_explained(
        self, fingerprint: str, crash_id: str, loss: Loss
    ) -> bool:
        """Tell whether a stronger suspect was a probe at the same end.

        Of two requests that are as strong neither counts; their next probes
        tell them apart. A part is as strong as its own request.
        """
        ended = _records.ended_epoch(crash_id)
        end = self.ends.get(ended)
        if end is None or not end.probes:
            return False
        own = self.suspicions[fingerprint].strength(loss.lost_ms)
        for other in end.probes:
            suspicion = self.suspicions.get(other)
            if suspicion is None or other == fingerprint:
                continue
            beside = suspicion.loss_at(ended)
            if beside is None or not beside.is_probe:
                continue
            strength = suspicion.strength(beside.lost_ms)
            is_whole = not (suspicion.is_part or _keys.is_part(fingerprint))
            if strength > own or (is_whole and strength == own):
                return True
        return False

    def _note_end(self, crash: _records.Crash, losses: list[Loss]) -> None:
        """Note what an endpoint ran as it ended, and its first loss."""
        if not losses:
            return
        first_ms = min(loss.lost_ms for loss in losses)
        ended = _records.ended_epoch(crash.crash_id)
        end = self.note_end(ended, first_ms)
        end.fingerprints.update(crash.fingerprints)
        end.probes.update(
            fingerprint
            for fingerprint, loss in zip(
                crash.fingerprints, losses, strict=True
            )
            if loss.is_probe
        )

    def note_end(self, ended: str, lost_ms: int) -> End:
        """Note that a run was lost as an epoch ended; return the end."""
        end = self.ends.setdefault(ended, End(lost_ms))
        end.first_lost_ms = min(end.first_lost_ms, lost_ms)
        bounded.drop_oldest(self.ends, MAX_ENDS)
        return end

    def has_others(self, ended: str, fingerprint: str) -> bool:
        """Tell whether other requests ran at an endpoint that ended."""
        end = self.ends.get(ended)
        if end is None:
            return False
        whole = _keys.whole_requests(end.fingerprints)
        return end.had_others or any(x != fingerprint for x in whole)

    def _counted_ms(self, crash_id: str, loss: Loss) -> int:
        """Return when the endpoint of a loss ended, as far as is known.

        It was alive when it took a probe that ran for some time, so that runs
        lost there before had been broken off.
        """
        if loss.is_probe and loss.ran_ms >= LEAST_RUN_MS:
            return loss.lost_ms
        end = self.ends.get(_records.ended_epoch(crash_id))
        return min(loss.lost_ms, end.first_lost_ms) if end else loss.lost_ms

    def is_suspect(self, fingerprint: str, at_ms: int) -> bool:
        """Tell whether the request is suspect and must run alone."""
        suspicion = self.suspicions.get(fingerprint)
        return suspicion is not None and at_ms < suspicion.forget_at_ms

    def quarantined_ms(self, fingerprint: str, at_ms: int) -> int:
        """Return how long the request is still quarantined; 0 if it is not."""
        suspicion = self.suspicions.get(fingerprint)
        if suspicion is None:
            return 0
        return max(0, suspicion.until_ms - at_ms)

    def last_lost_ms(self, fingerprint: str) -> int:
        """Return when the last run was lost that a key is suspected for."""
        suspicion = self.suspicions[fingerprint]
        return max(loss.lost_ms for loss in suspicion.losses.values())

    def ended(self, fingerprint: str) -> tuple[str, ...]:
        """Return the epochs whose ends a request is suspected of."""
        suspicion = self.suspicions.get(fingerprint)
        if suspicion is None:
            return ()
        return tuple(
            _records.ended_epoch(crash_id)
            for crash_id, loss in suspicion.losses.items()
            if not self._is_explained(fingerprint, crash_id, loss)
        )

    def disprove(
        self, fingerprint: str, ended: collections.abc.Collection[str]
    ) -> bool:
        """Drop the crashes of these epochs; tell whether none is left."""
        suspicion = self.suspicions.get(fingerprint)
        if suspicion is None:
            return False
        suspicion.losses = {
            crash_id: loss
            for crash_id, loss in suspicion.losses.items()
            if _records.ended_epoch(crash_id) not in ended
        }
        if suspicion.losses:
            return False
        self.clear(fingerprint)
        return True

    def clear(self, fingerprint: str) -> None:
        """Drop a suspicion, disproved by a run alone or lifted."""
        self.suspicions.pop(fingerprint, None)

    def clear_all(self) -> None:
        """Drop all suspicions and what is known of endpoints that ended."""
        self.suspicions.clear()
        self.ends.clear()

    def forget_expired(self, at_ms: int) -> None:
        """Drop the suspicions that have expired."""
        expired = [
            fingerprint
            for fingerprint, suspicion in self.suspicions.items()
            if at_ms >= suspicion.forget_at_ms
        ]
        for fingerprint in expired:
            del self.suspicions[fingerprint]

    def _threshold(self, fingerprint: str, ended: str) -> int:
        """Return how many crashes quarantine what ran as an epoch ended.

        A part is never alone: its request has others.
        """
        end = self.ends.get(ended)
        ran_alone = (
            end is not None
            and not _keys.is_part(fingerprint)
            and len(_keys.whole_requests(end.fingerprints)) == 1
            and not end.had_others
        )
        return self.rules.crashes_alone if ran_alone else self.rules.crashes

    def _quarantine(self, fingerprint: str, ended: str, at_ms: int) -> bool:
        """Quarantine a suspect with enough crashes; tell whether it is new."""
        suspicion = self.suspicions[fingerprint]
        suspicion.forget_at_ms = max(
            suspicion.forget_at_ms, at_ms + self.rules.suspect_ms
        )
        count = self.crashes(fingerprint)
        in_force = suspicion.basis != '' and at_ms < suspicion.until_ms
        is_counted = in_force and count <= suspicion.counted
        if count < self._threshold(fingerprint, ended) or is_counted:
            return False
        suspicion.counted = count
        if not in_force:
            suspicion.basis = ended
        doublings = min(suspicion.quarantines, MAX_DOUBLINGS)
        suspicion.quarantines += 1
        until_ms = at_ms + self.rules.quarantine_ms * 2**doublings
        suspicion.until_ms = max(suspicion.until_ms, until_ms)
        suspicion.forget_at_ms = suspicion.until_ms + self.rules.suspect_ms
        return True


def _loss(run: messages.LostRun | None, made_ms: int, delay_ms: int) -> Loss:
    """Return a run of a report that was made at a time.

    The report may have been delayed, so the run may have begun earlier.
    """
    if run is None:
        return Loss(None, made_ms)
    return Loss(
        made_ms - max(0, run.began_ms_ago) - delay_ms,
        made_ms - max(0, run.lost_ms_ago),
        max(0, run.crashes_known),
        run.is_probe,
        max(0, run.began_ms_ago - run.lost_ms_ago),
    )


def _both(one: bool | None, other: bool | None) -> bool | None:
    return None if one is None or other is None else one and other
