"""The sidecar's reducer: dispatches each event to its handler."""

from berylhollow import effects
from berylhollow import events
from berylhollow import following
from berylhollow import messages
from berylhollow.sidecar import _admission
from berylhollow.sidecar import _counts
from berylhollow.sidecar import _engine
from berylhollow.sidecar import _loads
from berylhollow.sidecar import _orphans
from berylhollow.sidecar import _pauses
from berylhollow.sidecar import _permits
from berylhollow.sidecar import _reports
from berylhollow.sidecar import _runs
from berylhollow.sidecar import _shutdown
from berylhollow.sidecar import _state
from berylhollow.sidecar import _takeover

Effects = list[effects.Effect]


def reduce(
    state: _state.State, event: events.Event
) -> tuple[_state.State, Effects]:
    """Apply an event; return the state and the effects to carry out."""
    handler = _HANDLERS.get(type(event))
    if handler is None:
        return state, []
    done = handler(state, event)
    return state, done + _counts.counts_for(state, event, done)


def _started(state: _state.State, event: events.Started) -> Effects:
    state.incarnation = event.incarnation
    done = state.follower.start(event.at_ms)
    done += _takeover.start(state, event)
    return done + _engine.tick(state, event.at_ms)


def _ticked(state: _state.State, event: events.Ticked) -> Effects:
    at_ms = event.at_ms
    state.pacing.seed = event.seed
    _pauses.record_tick(state, at_ms)
    done = _engine.tick(state, at_ms)
    done += _admission.tick(state, at_ms)
    done += _orphans.tick(state, at_ms)
    done += _follow_configuration(state, at_ms)
    done += _takeover.tick(state, at_ms)
    done += _runs.tick(state, at_ms)
    done += _runs.dispatch(state, at_ms)
    done += _loads.order(state, at_ms)
    done += _reports.tick(state, at_ms)
    done += _shutdown.tick(state, at_ms)
    return done


def _follow_configuration(state: _state.State, at_ms: int) -> Effects:
    view = state.follower.current
    done = following.log_new_revision(state.announced_revision, view)
    state.announced_revision = view.revision if view else 0
    return done + state.follower.tick(at_ms, [], list(state.links), '')


def _message_received(
    state: _state.State, event: events.MessageReceived
) -> Effects:
    handler = _MESSAGES.get(type(event.message))
    if handler is None:
        return state.follower.handle(event)
    # An offer carries the gateway's configuration revision, which may be
    # newer than the local one.
    return handler(state, event) + state.follower.handle(event)


def _link_opened(state: _state.State, event: events.LinkOpened) -> Effects:
    state.links[event.peer] = event.incarnation
    _shutdown.link_opened(state, event)
    done = state.follower.handle(event)
    return done + _reports.report_to(state, event.peer, event.at_ms)


def _link_closed(state: _state.State, event: events.LinkClosed) -> Effects:
    _shutdown.link_closed(state, event)
    _orphans.mark_unlinked(state, event)
    state.links.pop(event.peer, None)
    done = state.follower.handle(event)
    return done + _shutdown.tick(state, event.at_ms)


def _append_ended(state: _state.State, event: events.Event) -> Effects:
    return _takeover.take_offset(state, event)


def _log_read_ended(state: _state.State, event: events.Event) -> Effects:
    return state.follower.handle(event)


_HANDLERS = {
    events.Started: _started,
    events.Ticked: _ticked,
    events.StopRequested: _shutdown.start_draining,
    events.LinkOpened: _link_opened,
    events.LinkClosed: _link_closed,
    events.MessageReceived: _message_received,
    events.EngineStatus: _engine.status,
    events.EndpointUnreachable: _engine.unreachable,
    events.LoadSucceeded: _loads.finish_load,
    events.LoadFailed: _loads.fail_load,
    events.RunStarted: _runs.relay_head,
    events.RunEnded: _runs.finish_run,
    events.RunFailed: _runs.fail_run,
    events.CancelConfirmed: _runs.finish_cancel,
    events.Appended: _append_ended,
    events.AppendFailed: _append_ended,
    events.LogRead: _log_read_ended,
    events.LogReadFailed: _log_read_ended,
}

_MESSAGES = {
    messages.Offer: _admission.admit,
    messages.Cancel: _admission.cancel,
    messages.Resume: _admission.resume,
    messages.LoadGranted: _loads.use_grant,
    messages.LoadDeferred: _permits.record_deferral,
}
