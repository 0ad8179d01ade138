"""Attempts that no gateway takes the answer of any more."""

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow.sidecar import _runs
from berylhollow.sidecar import _state

Effects = list[effects.Effect]


def link_closed(state: _state.State, event: events.LinkClosed) -> None:
    """What a gateway has here waits for it to resume."""
    for attempt in _active(state):
        if attempt.peer == event.peer:
            attempt.unlinked_ms = event.at_ms


def tick(state: _state.State, at_ms: int) -> Effects:
    """End what was not resumed in time after its link was lost.

    Guards against an answer that nobody takes: its gateway died, or gave it
    up while its word of that was lost with the link. It shows as a slot that
    is pinned for ever and a stop that waits for its whole grace. The
    endpoint is read no further than frames may be kept, so such a run does
    not end by itself.
    """
    last_ms = at_ms - state.options.orphan_ms
    done: Effects = []
    for attempt in _active(state):
        unlinked_ms = attempt.unlinked_ms
        if unlinked_ms is not None and unlinked_ms <= last_ms:
            done += _end(state, attempt, at_ms)
    return done


def _active(state: _state.State) -> list[_state.Attempt]:
    active = [*state.queue, *sorted(state.running)]
    return [state.attempts[attempt_id] for attempt_id in active]


def _end(state: _state.State, attempt: _state.Attempt, at_ms: int) -> Effects:
    attempt.unlinked_ms = None
    if attempt.cancelled:
        return []
    attempt.cancelled = True
    if attempt.phase is _state.Phase.QUEUED:
        return _runs.end_unrun(state, attempt, errors.Kind.CANCELLED, at_ms)
    if attempt.phase is _state.Phase.RUNNING:
        return [effects.CancelRun(attempt.offer.attempt_id)]
    return []
