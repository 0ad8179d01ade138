"""One reducer over all events of a sidecar."""

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
    """Take one event in and return the state and what is to be done."""
    handler = _HANDLERS.get(type(event))
    if handler is None:
        return state, []
    done = handler(state, event)
    return state, done + _counts.of(state, event, done)


def _started(state: _state.State, event: events.Started) -> Effects:
    state.incarnation = event.incarnation
    done = state.follower.start(event.at_ms)
    done += _takeover.begin(state, event)
    return done + _engine.tick(state, event.at_ms)


def _ticked(state: _state.State, event: events.Ticked) -> Effects:
    at_ms = event.at_ms
    state.pacing.seed = event.seed
    _pauses.ticked(state, at_ms)
    done = _engine.tick(state, at_ms)
    done += _admission.tick(state, at_ms)
    done += _orphans.tick(state, at_ms)
    done += _follow(state, at_ms)
    done += _takeover.tick(state, at_ms)
    done += _runs.tick(state, at_ms)
    done += _runs.dispatch(state, at_ms)
    done += _loads.order(state, at_ms)
    done += _reports.tick(state, at_ms)
    done += _shutdown.tick(state, at_ms)
    return done


def _follow(state: _state.State, at_ms: int) -> Effects:
    view = state.follower.current
    done = following.announce(state.served_revision, view)
    state.served_revision = view.revision if view else 0
    return done + state.follower.tick(at_ms, [], list(state.links), '')


def _received(state: _state.State, event: events.MessageReceived) -> Effects:
    handler = _MESSAGES.get(type(event.message))
    if handler is None:
        return state.follower.handle(event)
    # An offer tells the gateway's revision, which may be newer than ours.
    return handler(state, event) + state.follower.handle(event)


def _link_opened(state: _state.State, event: events.LinkOpened) -> Effects:
    state.links[event.peer] = event.incarnation
    _shutdown.link_opened(state, event)
    done = state.follower.handle(event)
    return done + _reports.tell(state, event.peer, event.at_ms)


def _link_closed(state: _state.State, event: events.LinkClosed) -> Effects:
    _shutdown.link_closed(state, event)
    _orphans.link_closed(state, event)
    state.links.pop(event.peer, None)
    done = state.follower.handle(event)
    return done + _shutdown.tick(state, event.at_ms)


def _appended(state: _state.State, event: events.Event) -> Effects:
    return _takeover.settled(state, event)


def _followed(state: _state.State, event: events.Event) -> Effects:
    return state.follower.handle(event)


_HANDLERS = {
    events.Started: _started,
    events.Ticked: _ticked,
    events.StopRequested: _shutdown.requested,
    events.LinkOpened: _link_opened,
    events.LinkClosed: _link_closed,
    events.MessageReceived: _received,
    events.EngineStatus: _engine.status,
    events.EndpointUnreachable: _engine.unreachable,
    events.LoadSucceeded: _loads.succeeded,
    events.LoadFailed: _loads.failed,
    events.RunStarted: _runs.started,
    events.RunEnded: _runs.ended,
    events.RunFailed: _runs.failed,
    events.CancelConfirmed: _runs.cancel_confirmed,
    events.Appended: _appended,
    events.AppendFailed: _appended,
    events.LogRead: _followed,
    events.LogReadFailed: _followed,
}

_MESSAGES = {
    messages.Offer: _admission.offered,
    messages.Cancel: _admission.cancelled,
    messages.Resume: _admission.resumed,
    messages.LoadGranted: _loads.granted,
    messages.LoadDeferred: _permits.deferred,
}
