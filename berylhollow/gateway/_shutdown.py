"""Graceful shutdown of a gateway."""

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow.gateway import _attempts
from berylhollow.gateway import _settlement
from berylhollow.gateway import _state

Effects = list[effects.Effect]


def announce(state: _state.State, event: events.StopAnnounced) -> Effects:
    """Send only requests that end before the stop from now on."""
    if not state.stopping:
        closes_ms = event.at_ms + event.notice_ms
        state.stop_by_ms = closes_ms + state.options.stop_grace_ms
    return []


def start_draining(
    state: _state.State, event: events.StopRequested
) -> Effects:
    """Start to drain: new requests are refused, those in flight finish."""
    if not state.stopping:
        state.stopping = True
        state.stop_by_ms = event.at_ms + state.options.stop_grace_ms
    return tick(state, event.at_ms)


def tick(state: _state.State, at_ms: int) -> Effects:
    """Exit once nothing is in flight, or the grace period is over.

    What still waits for its answer then gets an error in place of one.

    The outcomes of claimed requests are appended to the log first. Otherwise
    a caller that sends its key again would be told that the outcome is
    unknown.
    """
    if not state.stopping or state.exited:
        return []
    has_work = bool(state.requests) or _settlement.has_unappended_entries(
        state
    )
    if has_work and at_ms < state.stop_by_ms:
        return []
    state.exited = True
    answers = _answer_unbegun(state)
    return [*answers, effects.Exit(1 if has_work else 0)]


def _answer_unbegun(state: _state.State) -> Effects:
    """Give the requests without an answer a final one.

    Answers that have begun may still end while the last ones are written.
    """
    result: Effects = []
    for active in list(state.requests.values()):
        if active.phase is _state.Phase.RELAYING:
            continue
        kind, ran = errors.Kind.OUTCOME_UNKNOWN, errors.Ran.UNKNOWN
        if not active.offered and not active.may_have_run:
            kind, ran = errors.Kind.LEAVING, errors.Ran.NOT_RUN
        if active.request.key is None:
            result += _attempts.cancel(state, active)
        result += _attempts.give_up(state, active, kind, ran)
    return result
