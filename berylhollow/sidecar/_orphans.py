"""Attempts whose gateway is gone: cancelled unless resumed in time."""

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow.sidecar import _runs
from berylhollow.sidecar import _state

Effects = list[effects.Effect]


def mark_unlinked(state: _state.State, event: events.LinkClosed) -> None:
    """Start the wait for a gateway to resume its active attempts."""
    for attempt in _active(state):
        if attempt.peer == event.peer:
            attempt.unlinked_since_ms = event.at_ms


def tick(state: _state.State, at_ms: int) -> Effects:
    """Cancel attempts that were not resumed in time after a link was lost.

    Guards against an answer that no gateway reads: its gateway died, or its
    cancel was lost with the link. The slot would stay pinned for ever, and a
    graceful stop would take its whole grace period. Such a run does not end
    by itself, since the endpoint is not read once the frame buffer is full.
    """
    lost_before_ms = at_ms - state.options.resume_timeout_ms
    done: Effects = []
    for attempt in _active(state):
        unlinked_ms = attempt.unlinked_since_ms
        if unlinked_ms is not None and unlinked_ms <= lost_before_ms:
            done += _cancel_orphan(state, attempt, at_ms)
    return done


def _active(state: _state.State) -> list[_state.Attempt]:
    active = [*state.queue, *sorted(state.running)]
    return [state.attempts[attempt_id] for attempt_id in active]


def _cancel_orphan(
    state: _state.State, attempt: _state.Attempt, at_ms: int
) -> Effects:
    attempt.unlinked_since_ms = None
    if attempt.cancelled:
        return []
    attempt.cancelled = True
    if attempt.phase is _state.AttemptPhase.QUEUED:
        return _runs.fail_unstarted(
            state, attempt, errors.Kind.CANCELLED, at_ms
        )
    if attempt.phase is _state.AttemptPhase.RUNNING:
        return [effects.CancelRun(attempt.offer.attempt_id)]
    return []
