"""The gateway's reducer: passes each event to its handler."""

import collections.abc

from berylhollow import claims
from berylhollow import effects
from berylhollow import events
from berylhollow.gateway import _adapters
from berylhollow.gateway import _admissions
from berylhollow.gateway import _attempt_links
from berylhollow.gateway import _attempts
from berylhollow.gateway import _claim_leader
from berylhollow.gateway import _claims
from berylhollow.gateway import _containment
from berylhollow.gateway import _counts
from berylhollow.gateway import _kept_crashes
from berylhollow.gateway import _kept_records
from berylhollow.gateway import _load_coordinator
from berylhollow.gateway import _membership
from berylhollow.gateway import _notices
from berylhollow.gateway import _origins
from berylhollow.gateway import _peers
from berylhollow.gateway import _probes
from berylhollow.gateway import _prompt_parts
from berylhollow.gateway import _quarantine
from berylhollow.gateway import _quotas
from berylhollow.gateway import _rate_limits
from berylhollow.gateway import _requests
from berylhollow.gateway import _resumption
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
    """Apply one event; return the state and the effects to carry out."""
    handler = _HANDLERS.get(type(event))
    if handler is None:
        return state, []
    emitted = _containment.handle_event(state, event, handler)
    return state, emitted + _counts.count_attempts(state, emitted)


def _started(state: _state.State, event: events.Started) -> Effects:
    state.incarnation = event.incarnation
    state.started_ms = state.unlinked_ms = event.at_ms
    state.settled_ms = event.at_ms + state.options.settle_ms
    wanted = state.follower.start(event.at_ms)
    return wanted + _membership.tick(state, event.at_ms)


def _ticked(state: _state.State, event: events.Ticked) -> Effects:
    state.seed = event.seed
    emitted = _membership.tick(state, event.at_ms)
    emitted += _peers.tick(state, event.at_ms)
    emitted += _membership.tick_follower(state, event.at_ms)
    emitted += _kept_records.tick(state, event.at_ms)
    emitted += _requests.tick(state, event.at_ms)
    emitted += _claims.tick(state, event.at_ms)
    emitted += _quarantine.tick(state, event.at_ms)
    emitted += _probes.tick(state, event.at_ms)
    emitted += _prompt_parts.tick(state, event.at_ms)
    emitted += _kept_crashes.ask(state, event.at_ms)
    emitted += _origins.tick(state, event.at_ms)
    emitted += _quotas.tick(state, event.at_ms)
    emitted += _rate_limits.tick(state, event.at_ms)
    emitted += _load_coordinator.tick(state, event.at_ms)
    emitted += _shutdown.tick(state, event.at_ms)
    return emitted


def _received(state: _state.State, event: events.MessageReceived) -> Effects:
    handler = _MESSAGES.get(type(event.message))
    if handler is None:
        return state.follower.handle(event)
    return handler(state, event)


def _reported(state: _state.State, event: events.MessageReceived) -> Effects:
    if event.peer not in state.sidecars:
        return _membership.reported(state, event)
    emitted: Effects = []
    for active in _sidecars.reported(state, event):
        if active.admission is not None:
            continue
        emitted += _containment.place(state, active, event.at_ms)
    return emitted


def _notice_received(
    state: _state.State, event: events.NoticeReceived
) -> Effects:
    emitted = _notices.received(state, event)
    endpoint = state.endpoints.get(event.peer)
    if endpoint is None or not endpoint.leaving:
        return emitted
    for active in _adapters.requests_awaiting_adapter(state, event.peer):
        emitted += _containment.place(state, active, event.at_ms)
    return emitted


def _probe_answered(
    state: _state.State, event: events.MessageReceived
) -> Effects:
    probe = state.probes.get(event.message.fingerprint)
    emitted, active = _probes.answered(state, event)
    if active is None and probe is not None:
        emitted += _admissions.permit_denied(state, probe.request_id)
    if active is None or active.phase is not _state.Phase.WAITING:
        return emitted
    return emitted + _containment.place(state, active, event.at_ms)


def _place_after(
    handle: collections.abc.Callable[
        [_state.State, events.MessageReceived],
        tuple[Effects, _state.ActiveRequest | None],
    ],
) -> collections.abc.Callable[[_state.State, events.Event], Effects]:
    """Return a handler that places the request which ``handle`` returns."""

    def handler(state: _state.State, event: events.Event) -> Effects:
        emitted, active = handle(state, event)
        if active is None:
            return emitted
        return emitted + _containment.place(state, active, event.at_ms)

    return handler


def _place_each_after(
    handle: collections.abc.Callable[
        [_state.State, events.MessageReceived],
        collections.abc.Iterable[_state.ActiveRequest],
    ],
) -> collections.abc.Callable[[_state.State, events.Event], Effects]:
    """Return a handler that places all requests which ``handle`` returns."""

    def handler(state: _state.State, event: events.Event) -> Effects:
        emitted: Effects = []
        for active in handle(state, event):
            emitted += _containment.place(state, active, event.at_ms)
        return emitted

    return handler


def _first_data(state: _state.State, event: events.MessageReceived) -> Effects:
    emitted = _attempts.first_event(state, event)
    return emitted + _prompt_parts.began_to_write(state, event)


def _link_opened(state: _state.State, event: events.LinkOpened) -> Effects:
    if event.peer in state.sidecars:
        opened = _sidecars.opened(state, event)
        opened += _kept_crashes.hand_over(state, event)
        opened += _probes.link_opened(state, event)
        return opened + _kept_crashes.ask(state, event.at_ms)
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
        _kept_crashes.link_closed(state, event.peer)
        closed = _sidecars.closed(state, event)
        _probes.link_closed(state, event.peer, event.at_ms)
        for active in _admissions.link_closed(state, event.peer):
            closed += _containment.place(state, active, event.at_ms)
        return closed
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
    events.StopAnnounced: _shutdown.announce,
    events.StopRequested: _shutdown.start_draining,
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
    events.NoticeReceived: _notice_received,
    events.EndpointOutlived: _probes.outlived,
    events.LogRead: _log_read,
    events.LogReadFailed: _log_read_failed,
    events.LogChecked: _log_checked,
    events.StreamPartRead: _shared_reads.relay_stream_part,
    events.Appended: _appended,
    events.AppendFailed: _append_failed,
}

_MESSAGES = {
    messages.AdmissionQueued: _place_after(_admissions.queued),
    messages.AdmissionGranted: _place_after(_admissions.granted),
    messages.ClaimDecided: _claims.apply_verdict,
    messages.ClaimsForwarded: _claim_leader.queue_forwarded_claims,
    messages.ClaimsTaken: _claim_leader.handle_confirmation,
    messages.Cleared: _quarantine.cleared,
    messages.Crashed: _quarantine.crashed,
    messages.Report: _reported,
    messages.StreamPart: _shared_reads.apply_stream_part,
    messages.CompressedStreamPart: _shared_reads.apply_stream_part,
    messages.RecordWanted: _kept_records.send,
    messages.KeptRecord: _kept_records.apply,
    messages.KeptCrashes: _kept_crashes.take_over,
    messages.OriginAnswered: _place_each_after(_resumption.answered),
    messages.SoftwareHistory: _origins.history_received,
    messages.QuotaSums: _quotas.sums_received,
    messages.RateLent: _place_each_after(_rate_limits.rate_lent),
    messages.RunLost: _prompt_parts.lost_elsewhere,
    messages.EndpointAnswered: _probes.answered_elsewhere,
    messages.ProbeAnswered: _probe_answered,
    messages.LoadWanted: _load_coordinator.wanted,
    messages.LoadEnded: _load_coordinator.ended,
    messages.Started: _attempts.begin_answer,
    messages.Data: _first_data,
    messages.End: _attempts.ended,
    messages.Failed: _attempts.failed,
}
