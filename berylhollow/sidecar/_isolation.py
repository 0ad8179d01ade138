"""Crashes of the endpoint, and runs that must have nothing beside them.

The sidecar is the witness of a crash: what ran at that moment is suspect.
It tells its gateways first and then that the attempts are lost, in this
order on each link, so that no gateway tries a suspect again in company.
"""

from berylhollow import effects
from berylhollow import messages
from berylhollow import quarantine
from berylhollow.sidecar import _state

Effects = list[effects.Effect]


def crashed(state: _state.State, at_ms: int) -> Effects:
    """Tell of a crash: everything that ran at this moment is suspect.

    All connections to an endpoint break at its crash, so a crash is told
    once, until the endpoint shows that it lives on in the same epoch.
    """
    crash_id = f'{state.options.instance}/{state.epoch}/{state.incarnation}'
    crash_id += f'/{at_ms if state.options.plain else state.survived}'
    if crash_id == state.crash_told or not state.running:
        return []
    state.crash_told = crash_id
    fingerprints = tuple(
        dict.fromkeys(
            state.attempts[attempt_id].offer.fingerprint
            for attempt_id in sorted(state.running)
        )
    )
    crash = quarantine.Crash(crash_id, state.options.service, fingerprints)
    state.suspects.count_crash(crash, at_ms)
    message = messages.Crashed(crash_id, state.options.service, fingerprints)
    done: Effects = [effects.Send(peer, message) for peer in state.links]
    append_id = f'{state.incarnation}/crash/{crash_id}'
    data = quarantine.encode(crash)
    return [*done, effects.Append(quarantine.STREAM, append_id, data)]


def survived(state: _state.State) -> None:
    """The endpoint answers in the epoch in which we told of a crash.

    Guards against a connection that broke for another reason: the crash
    that follows in the same epoch would be taken for the one told already.
    """
    if state.crash_told and not state.options.plain:
        state.crash_told = ''
        state.survived += 1


def needs_isolation(
    state: _state.State, offer: messages.Offer, at_ms: int
) -> bool:
    """Tell whether an offer must run with nothing beside it."""
    own = state.suspects.is_suspect(offer.fingerprint, at_ms)
    return offer.isolate or own


def may_begin(state: _state.State, attempt: _state.Attempt) -> bool:
    """Tell whether a run may begin beside what runs now."""
    if not state.running:
        return True
    return not attempt.isolate and not _isolated_running(state)


def holds_back(
    state: _state.State, attempt: _state.Attempt, at_ms: int
) -> bool:
    """Tell whether a waiting suspect keeps others from beginning.

    Without this a suspect would never find the endpoint empty under load.
    Between two suspects the others get a turn, and while its adapter is not
    loaded there is nothing to hold the endpoint for.
    """
    if not attempt.isolate:
        return False
    adapter = attempt.offer.adapter
    if adapter is not None and state.slot_with(adapter) is None:
        return False
    gap_ms = state.options.isolation_gap_ms
    return at_ms >= state.isolated_ended_ms + gap_ms


def ended(state: _state.State, attempt: _state.Attempt, at_ms: int) -> None:
    """Note the end of a run that had the endpoint for itself."""
    if attempt.isolate:
        state.isolated_ended_ms = at_ms


def _isolated_running(state: _state.State) -> bool:
    return any(
        state.attempts[attempt_id].isolate for attempt_id in state.running
    )
