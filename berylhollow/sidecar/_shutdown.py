"""Graceful shutdown of a sidecar, and with it of its endpoint's work."""

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow.sidecar import _reports
from berylhollow.sidecar import _runs
from berylhollow.sidecar import _state

Effects = list[effects.Effect]


def requested(state: _state.State, event: events.StopRequested) -> Effects:
    """Take no new work, hand back what never began, finish the rest."""
    if state.stopping:
        return []
    state.stopping = True
    state.stop_by_ms = event.at_ms + state.options.stop_grace_ms
    done = _reports.tell_all(state, event.at_ms)
    for attempt_id in list(state.queue):
        attempt = state.attempts[attempt_id]
        done += _runs.end_unrun(
            state, attempt, errors.Kind.LEAVING, event.at_ms
        )
    return done + tick(state, event.at_ms)


def tick(state: _state.State, at_ms: int) -> Effects:
    """Exit once nothing runs, or the grace period is over."""
    if not state.stopping or state.exited:
        return []
    if state.running and at_ms < state.stop_by_ms:
        return []
    state.exited = True
    return [effects.Exit(1 if state.running else 0)]
