"""Graceful shutdown of a sidecar: drains the runs of its endpoint."""

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow.sidecar import _reports
from berylhollow.sidecar import _runs
from berylhollow.sidecar import _state

Effects = list[effects.Effect]


def start_draining(
    state: _state.State, event: events.StopRequested
) -> Effects:
    """Refuse new attempts, hand back the queued ones, let runs finish."""
    if state.stopping:
        return []
    state.stopping = True
    state.stop_deadline_ms = event.at_ms + state.options.stop_grace_ms
    state.link_close_deadline_ms = (
        event.at_ms + state.options.link_close_timeout_ms
    )
    state.awaited_gateways = set(state.links)
    done = _reports.report_to_all(state, event.at_ms)
    for attempt_id in list(state.queue):
        attempt = state.attempts[attempt_id]
        done += _runs.fail_unstarted(
            state, attempt, errors.Kind.LEAVING, event.at_ms
        )
    return done + tick(state, event.at_ms)


def link_opened(state: _state.State, event: events.LinkOpened) -> None:
    """Wait for a gateway that links during the shutdown as well.

    One that has closed its link before already knows of the shutdown.
    """
    is_notified = event.incarnation in state.departed_incarnations
    if state.stopping and not is_notified:
        state.awaited_gateways.add(event.peer)


def link_closed(state: _state.State, event: events.LinkClosed) -> None:
    """Record that a gateway knows of the shutdown.

    It may link again to check whether the sidecar is gone.
    """
    state.awaited_gateways.discard(event.peer)
    if state.stopping and event.peer in state.links:
        state.departed_incarnations.add(state.links[event.peer])


def tick(state: _state.State, at_ms: int) -> Effects:
    """Exit once nothing runs and every gateway has closed its link.

    Each condition has a timeout after which it is waived. A gateway closes
    its link once it knows of the shutdown and has no attempt left here.
    Guards against an offer that is still in flight at the exit: its gateway
    could never tell whether it ran, and an idempotency key would be lost to
    a planned stop.
    """
    if not state.stopping or state.exited:
        return []
    if state.running and at_ms < state.stop_deadline_ms:
        return []
    if state.awaited_gateways and at_ms < state.link_close_deadline_ms:
        return []
    state.exited = True
    return [effects.Exit(1 if state.running else 0)]
