"""Crash reports, and isolated runs of requests suspected of a crash.

The sidecar detects a crash of its endpoint: every request that ran at that
moment is suspect. It reports the crash before the lost attempts, in this
order on each link, so that no gateway retries a suspect alongside others.
"""

from berylhollow import effects
from berylhollow import messages
from berylhollow import quarantine
from berylhollow.sidecar import _state

Effects = list[effects.Effect]


def report_crash(state: _state.State, at_ms: int) -> Effects:
    """Report a crash with all running requests as suspects.

    A crash breaks all connections to the endpoint, so it is reported only
    once, until the endpoint answers again in the same epoch.
    """
    crash_id = f'{state.options.instance}/{state.epoch}/{state.incarnation}'
    crash_id += f'/{at_ms if state.options.plain else state.survived_crashes}'
    if crash_id == state.reported_crash_id or not state.running:
        return []
    state.reported_crash_id = crash_id
    running = [state.attempts[name] for name in sorted(state.running)]
    running.sort(key=lambda attempt: attempt.began_ms)
    runs: dict[str, messages.LostRun] = {}
    for attempt in running:
        run = messages.LostRun(
            attempt.crashes_known, at_ms - attempt.began_ms, 0
        )
        runs.setdefault(attempt.offer.fingerprint, run)
    lost = (tuple(runs), tuple(runs.values()))
    crash = quarantine.Crash(crash_id, state.options.service, *lost)
    state.suspects.count_crash(crash, at_ms, is_own=True)
    message = messages.Crashed(crash_id, state.options.service, *lost)
    done: Effects = [effects.Send(peer, message) for peer in state.links]
    append_id = f'{state.incarnation}/crash/{crash_id}'
    data = quarantine.encode(crash)
    return [*done, effects.Append(quarantine.STREAM, append_id, data)]


def clear_reported_crash(state: _state.State) -> None:
    """Record that the endpoint still answers in the epoch of a crash report.

    The connection had then broken for another reason. Without this, a real
    crash later in the same epoch would count as already reported.
    """
    if state.reported_crash_id and not state.options.plain:
        state.reported_crash_id = ''
        state.survived_crashes += 1


def crashes_known(state: _state.State, offer: messages.Offer) -> int:
    """Return of how many crashes a request is suspected as its run begins.

    An older gateway says only that it is suspected.
    """
    own = state.suspects.crashes(offer.fingerprint)
    return max(own, offer.crashes_known, int(offer.isolate))


def should_isolate(
    state: _state.State, offer: messages.Offer, at_ms: int
) -> bool:
    """Tell whether an offer must run alone at the endpoint."""
    own = state.suspects.is_suspect(offer.fingerprint, at_ms)
    return offer.isolate or own


def may_begin(state: _state.State, attempt: _state.Attempt) -> bool:
    """Tell whether a run may start alongside the current runs."""
    if not state.running:
        return True
    return not attempt.isolate and not _is_isolated_run_active(state)


def should_hold_back_others(
    state: _state.State, attempt: _state.Attempt, at_ms: int
) -> bool:
    """Tell whether other runs must wait for a queued suspect to start.

    Without this the endpoint would never be empty for a suspect under load.
    Others may run for ``isolation_gap_ms`` between two suspects, and as long
    as the suspect's adapter is not loaded.
    """
    if not attempt.isolate:
        return False
    adapter = attempt.offer.adapter
    if adapter is not None and state.ready_slot(adapter) is None:
        return False
    gap_ms = state.options.isolation_gap_ms
    return at_ms >= state.last_isolated_end_ms + gap_ms


def record_isolated_end(
    state: _state.State, attempt: _state.Attempt, at_ms: int
) -> None:
    """Record when an isolated run ended."""
    if attempt.isolate:
        state.last_isolated_end_ms = at_ms


def _is_isolated_run_active(state: _state.State) -> bool:
    return any(
        state.attempts[attempt_id].isolate for attempt_id in state.running
    )
