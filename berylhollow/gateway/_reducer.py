"""One reducer over all events of a gateway."""

from berylhollow import claims
from berylhollow import effects
from berylhollow import events
from berylhollow.gateway import _adapters
from berylhollow.gateway import _attempt_links
from berylhollow.gateway import _attempts
from berylhollow.gateway import _claim_leader
from berylhollow.gateway import _claims
from berylhollow.gateway import _coordinator
from berylhollow.gateway import _counts
from berylhollow.gateway import _membership
from berylhollow.gateway import _notices
from berylhollow.gateway import _peers
from berylhollow.gateway import _quarantine
from berylhollow.gateway import _quotas
from berylhollow.gateway import _rate_limits
from berylhollow.gateway import _requests
from berylhollow.gateway import _shared_reads
from berylhollow.gateway import _shutdown
from berylhollow.gateway import _sidecars
from berylhollow.gateway import _state
from berylhollow import messages
from berylhollow import quarantine

Effects = list[effects.Effect]


def reduce(
    state: _state.State, event: events.Event
) -> tuple[_state.State, Effects]:
    """Take one event in and return the state and what is to be done."""
    handler = _HANDLERS.get(type(event))
    if handler is None:
        return state, []
    done = handler(state, event)
    return state, done + _counts.of(state, done)


def _started(state: _state.State, event: events.Started) -> Effects:
    state.incarnation = event.incarnation
    state.started_ms = event.at_ms
    state.settled_ms = event.at_ms + state.options.settle_ms
    wanted = state.follower.start(event.at_ms)
    return wanted + _membership.tick(state, event.at_ms)


def _ticked(state: _state.State, event: events.Ticked) -> Effects:
    state.seed = event.seed
    done = _membership.tick(state, event.at_ms)
    done += _peers.tick(state, event.at_ms)
    done += _membership.tick_follower(state, event.at_ms)
    done += _requests.tick(state, event.at_ms)
    done += _claims.tick(state, event.at_ms)
    done += _quarantine.tick(state, event.at_ms)
    done += _quotas.tick(state, event.at_ms)
    done += _rate_limits.tick(state, event.at_ms)
    done += _coordinator.tick(state, event.at_ms)
    done += _shutdown.tick(state, event.at_ms)
    return done


def _received(state: _state.State, event: events.MessageReceived) -> Effects:
    handler = _MESSAGES.get(type(event.message))
    if handler is None:
        return state.follower.handle(event)
    return handler(state, event)


def _reported(state: _state.State, event: events.MessageReceived) -> Effects:
    if event.peer not in state.sidecars:
        return _membership.reported(state, event)
    done: Effects = []
    for active in _sidecars.reported(state, event):
        done += _attempts.place(state, active, event.at_ms)
    return done


def _noticed(state: _state.State, event: events.NoticeReceived) -> Effects:
    done = _notices.received(state, event)
    endpoint = state.endpoints.get(event.peer)
    if endpoint is None or not endpoint.leaving:
        return done
    for active in _adapters.waiting_at(state, event.peer):
        done += _attempts.place(state, active, event.at_ms)
    return done


def _lent(state: _state.State, event: events.MessageReceived) -> Effects:
    done: Effects = []
    for active in _rate_limits.lent(state, event):
        done += _attempts.place(state, active, event.at_ms)
    return done


def _link_opened(state: _state.State, event: events.LinkOpened) -> Effects:
    if event.peer in state.sidecars:
        return _sidecars.opened(state, event)
    if event.role is events.Role.GATEWAY:
        return _peers.opened(state, event)
    return _attempt_links.opened(state, event)


def _link_refused(state: _state.State, event: events.LinkRefused) -> Effects:
    if event.peer in state.sidecars:
        return _sidecars.closed(state, event)
    if event.peer in state.peers:
        return _peers.refused(state, event)
    return _membership.link_refused(state, event)


def _link_closed(state: _state.State, event: events.LinkClosed) -> Effects:
    if event.peer in state.sidecars:
        return _sidecars.closed(state, event)
    if event.peer in state.endpoints:
        return _attempt_links.closed(state, event)
    return _peers.closed(state, event)


def _log_read(state: _state.State, event: events.LogRead) -> Effects:
    if event.stream.startswith(claims.STREAM_PREFIX):
        return _claims.log_read(state, event)
    if event.stream == quarantine.STREAM:
        return _quarantine.log_read(state, event)
    return state.follower.handle(event)


def _log_read_failed(
    state: _state.State, event: events.LogReadFailed
) -> Effects:
    if event.stream.startswith(claims.STREAM_PREFIX):
        return _claims.log_read_failed(state, event)
    if event.stream == quarantine.STREAM:
        return _quarantine.log_read_failed(state, event)
    return state.follower.handle(event)


def _log_checked(state: _state.State, event: events.LogChecked) -> Effects:
    return state.follower.handle(event)


def _appended(state: _state.State, event: events.Appended) -> Effects:
    if event.stream.startswith(claims.STREAM_PREFIX):
        return _claims.appended(state, event)
    return state.follower.handle(event)


def _append_failed(state: _state.State, event: events.AppendFailed) -> Effects:
    if event.stream.startswith(claims.STREAM_PREFIX):
        return _claims.append_failed(state, event)
    return state.follower.handle(event)


_HANDLERS = {
    events.Started: _started,
    events.Ticked: _ticked,
    events.StopRequested: _shutdown.requested,
    events.InstancesListed: _membership.listed,
    events.LinkOpened: _link_opened,
    events.LinkRefused: _link_refused,
    events.LinkClosed: _link_closed,
    events.MessageReceived: _received,
    events.RequestArrived: _requests.arrived,
    events.HeadRefused: _requests.head_refused,
    events.CallerGone: _requests.caller_gone,
    events.AnswerRelayed: _requests.relayed,
    events.AnswerBroken: _requests.broken,
    events.NoticeReceived: _noticed,
    events.LogRead: _log_read,
    events.LogReadFailed: _log_read_failed,
    events.LogChecked: _log_checked,
    events.StreamPartRead: _shared_reads.has_read,
    events.Appended: _appended,
    events.AppendFailed: _append_failed,
}

_MESSAGES = {
    messages.ClaimDecided: _claims.decided,
    messages.ClaimsForwarded: _claim_leader.forwarded,
    messages.ClaimsTaken: _claim_leader.confirmed,
    messages.Crashed: _quarantine.crashed,
    messages.Report: _reported,
    messages.StreamPart: _shared_reads.heard,
    messages.QuotaSums: _quotas.heard,
    messages.RateLent: _lent,
    messages.LoadWanted: _coordinator.wanted,
    messages.LoadEnded: _coordinator.ended,
    messages.Started: _attempts.started,
    messages.End: _attempts.ended,
    messages.Failed: _attempts.failed,
}
