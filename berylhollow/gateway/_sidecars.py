"""Links to the sidecars beside direct endpoints, and their reports.

An endpoint without its sidecar goes on serving the adapters it holds, which
are known from the instance list with a lag; only loads wait for the sidecar.
"""

from berylhollow import clock
from berylhollow import effects
from berylhollow import events
from berylhollow.gateway import _adapters
from berylhollow.gateway import _backlog
from berylhollow.gateway import _link_pacing
from berylhollow.gateway import _model_loads
from berylhollow.gateway import _origins
from berylhollow.gateway import _quotas
from berylhollow.gateway import _shared_reads
from berylhollow.gateway import _state
from berylhollow import messages
from berylhollow.util import addresses
from berylhollow.util import bounded

Effects = list[effects.Effect]

REPORT_TIMEOUT_MS = 2500
"""A link without a report for this long is closed; a sidecar reports at
least every second. A connection can go silent without a reset, and then no
load can be ordered over it."""

MAX_ABSENT_SIDECARS = 1024
"""Sidecars kept in memory whose endpoints have left the instance list."""

STALL_THRESHOLD_MS = 500
"""A tick this long after the last one means that this gateway stalled. The
sidecars are not silent then: their reports have not been read yet."""


def update_endpoints(state: _state.State) -> None:
    """Map each sidecar to the endpoint beside it, from the instance list."""
    endpoint_of_peer = {}
    for name, endpoint in state.endpoints.items():
        instance = endpoint.instance
        if instance.direct and _has_adapters(state, instance.service):
            peer = addresses.sidecar_peer(instance.address)
            endpoint_of_peer[peer] = _prefer_usable(
                state, endpoint_of_peer.get(peer), name
            )
            _add_sidecar(state, peer, instance)
    for peer, name in endpoint_of_peer.items():
        sidecar = state.sidecars[peer]
        if state.endpoint_by_peer.get(peer) != name:
            # Resend the demand soon, for the endpoint that is there now.
            sidecar.told_ms = clock.NEVER_MS
        if sidecar.listed != name:
            sidecar.listed_before, sidecar.listed = sidecar.listed, name
    state.endpoint_by_peer = endpoint_of_peer
    for peer, name in endpoint_of_peer.items():
        _apply_report(state, state.sidecars[peer], state.endpoints[name])
    _shared_reads.choose_relays(state)
    _quotas.choose_books(state)


def tick(state: _state.State, at_ms: int) -> Effects:
    """Open missing links; close those that are silent or without endpoint."""
    result: Effects = []
    stalled = at_ms - state.ticked_ms >= STALL_THRESHOLD_MS
    state.ticked_ms = at_ms
    for peer, sidecar in list(state.sidecars.items()):
        if peer not in state.endpoint_by_peer:
            _remove_sidecar(state, peer)
            _origins.keepers_changed(state)
            result.append(effects.CloseLink(peer))
            continue
        if sidecar.link is _state.LinkPhase.OPEN and not stalled:
            result += _close_if_silent(peer, sidecar, at_ms)
        if sidecar.link is not _state.LinkPhase.CLOSED:
            continue
        if at_ms >= sidecar.retry_at_ms:
            sidecar.link = _state.LinkPhase.OPENING
            result.append(effects.OpenLink(peer, sidecar.address))
    return result + _adapters.tick(state, at_ms)


def _close_if_silent(
    peer: str, sidecar: _state.Sidecar, at_ms: int
) -> Effects:
    """Close a link whose reports have stopped."""
    silent_ms = at_ms - sidecar.heard_ms
    if sidecar.report is None or silent_ms < REPORT_TIMEOUT_MS:
        return []
    # Closing takes time; this keeps the next ticks from asking for it again.
    sidecar.heard_ms = at_ms
    fields = (('peer', peer), ('silent_ms', silent_ms))
    return [
        effects.Log('sidecar is silent', fields, warning=True),
        effects.CloseLink(peer),
    ]


def opened(state: _state.State, event: events.LinkOpened) -> Effects:
    """Handle an open link: send the sidecar the demand for adapters."""
    sidecar = state.sidecars[event.peer]
    sidecar.link = _state.LinkPhase.OPEN
    sidecar.refusals = 0
    sidecar.unasked_until_ms = clock.NEVER_MS
    if sidecar.incarnation not in ('', event.incarnation):
        sidecar.predecessor_heard_ms = sidecar.heard_ms
    sidecar.incarnation = event.incarnation
    result = [effects.Log('sidecar linked', (('peer', event.peer),))]
    result += _adapters.send_demands(state, event.peer, event.at_ms)
    _shared_reads.choose_relays(state)
    _quotas.choose_books(state)
    return result


def closed(
    state: _state.State, event: events.LinkClosed | events.LinkRefused
) -> Effects:
    """Use the instance list instead; retry the link after a back-off."""
    sidecar = state.sidecars[event.peer]
    was_open = sidecar.link is _state.LinkPhase.OPEN
    sidecar.link = _state.LinkPhase.CLOSED
    if was_open:
        _origins.keepers_changed(state)
    _shared_reads.choose_relays(state)
    _quotas.choose_books(state)
    sidecar.report = None
    sidecar.told_tokens = 0
    sidecar.refusals += 1
    pause_ms = _link_pacing.pause_ms(state, event.peer, sidecar.refusals)
    sidecar.retry_at_ms = event.at_ms + pause_ms
    name = state.endpoint_by_peer.get(event.peer)
    if name is not None:
        # Without reports, what other gateways have waiting there is outdated.
        state.endpoints[name].others_tokens = 0
        _apply_report(state, sidecar, state.endpoints[name])
    if not was_open:
        return []
    fields = (('peer', event.peer), ('retry_in_ms', pause_ms))
    return [effects.Log('sidecar lost', fields, warning=True)]


def reported(
    state: _state.State, event: events.MessageReceived
) -> list[_state.ActiveRequest]:
    """Store a report; return the requests that wait for an adapter there."""
    sidecar = state.sidecars[event.peer]
    kept_origins = sidecar.report is not None and sidecar.report.keeps_origins
    sidecar.report = event.message
    if sidecar.report.keeps_origins != kept_origins:
        _origins.keepers_changed(state)
    sidecar.heard_ms = event.at_ms
    # A sidecar that just started has few links, so the highest count of all
    # sidecars is used.
    reports = (each.report for each in state.sidecars.values())
    state.gateways = max(
        report.gateways for report in reports if report is not None
    )
    state.known_revisions.record(
        event.message.revision, state.revision, event.at_ms
    )
    name = state.endpoint_by_peer.get(event.peer)
    if name is None:
        return []
    endpoint = state.endpoints[name]
    endpoint.report_at_ms = event.at_ms
    before = endpoint.report
    endpoint.others_tokens = _backlog.others(
        event.message, sidecar.told_tokens
    )
    _apply_report(state, sidecar, endpoint)
    _note_start(endpoint, event.at_ms)
    if before is None or before.model_load is not event.message.model_load:
        _schedule_demand(state, endpoint.instance.service)
    return _adapters.requests_awaiting_adapter(state, name)


def _note_start(endpoint: _state.Endpoint, at_ms: int) -> None:
    """Note a start that the sidecar reports before it is listed."""
    started = endpoint.report.epoch
    if started in ('', endpoint.instance.instance, endpoint.reported_start):
        return
    endpoint.reported_start = started
    endpoint.reported_ms = at_ms


def _schedule_demand(state: _state.State, service: str) -> None:
    """Make the demand due to be sent to the sidecars of a service."""
    for peer, name in state.endpoint_by_peer.items():
        if state.endpoints[name].instance.service == service:
            state.sidecars[peer].told_ms = clock.NEVER_MS


def _has_adapters(state: _state.State, service: str) -> bool:
    view = state.follower.current
    return view is not None and view.adapter_slots(service) > 0


def _prefer_usable(state: _state.State, other: str | None, name: str) -> str:
    """Return the usable one of two endpoints at one address, or the later."""
    if other is None or not state.endpoints[other].is_usable:
        return name
    return name if state.endpoints[name].is_usable else other


def _add_sidecar(
    state: _state.State, peer: str, instance: events.Instance
) -> None:
    """Add the sidecar at an endpoint's host unless it is known."""
    if peer in state.sidecars:
        return
    host = instance.address.rpartition(':')[0]
    address = f'{host}:{state.options.sidecar_port}'
    sidecar = _state.Sidecar(address)
    known = state.absent_sidecars.pop(peer, None)
    name = instance.listed_name
    if known and messages.Incarnation.name_in(known.listed) == name:
        sidecar.incarnation = known.incarnation
        sidecar.heard_ms = known.heard_ms
        sidecar.predecessor_heard_ms = known.predecessor_heard_ms
    state.sidecars[peer] = sidecar


def _remove_sidecar(state: _state.State, peer: str) -> None:
    """Remove a sidecar, but keep which start of it was heard from when."""
    state.absent_sidecars[peer] = state.sidecars.pop(peer)
    bounded.drop_oldest(state.absent_sidecars, MAX_ABSENT_SIDECARS)


def _apply_report(
    state: _state.State, sidecar: _state.Sidecar, endpoint: _state.Endpoint
) -> None:
    """Update an endpoint from its sidecar's report, else from the list.

    A report that names another endpoint is ignored, since its adapters are
    not those of this one. A report of the same endpoint after a restart is
    newer than the list, which still has the start before: the adapters held
    then are gone. So are those in a report of the start that the list had
    before: its sidecar has not read the new one yet.
    """
    name = endpoint.instance.instance
    report = sidecar.report
    if report is None or not _is_report_of(
        report, endpoint.instance, sidecar.listed_before
    ):
        report = _report_from_list(endpoint.instance)
    if report == endpoint.report:
        return
    endpoint.in_flight_at_report = len(endpoint.attempts_in_flight)
    state.placement.replace(name, endpoint.report, report)
    endpoint.report = report
    _model_loads.update_from_report(state, name)


def _is_report_of(
    report: messages.Report, instance: events.Instance, listed_before: str
) -> bool:
    """Tell whether a report is about the listed start or a later one.

    ``listed_before`` is the start that the list had before, '' for none.
    """
    if report.epoch in ('', instance.instance):
        return True
    if report.epoch == listed_before:
        return False
    return messages.Incarnation.is_incarnation_of(
        report.epoch, instance.listed_name
    )


def _report_from_list(instance: events.Instance) -> messages.Report:
    """Return an entry of the instance list in the form of a report."""
    slots = tuple(
        messages.SlotReport(number, adapter, True, 0)
        for number, adapter in enumerate(instance.adapters)
    )
    return messages.Report(
        instance=instance.instance,
        service=instance.service,
        failure_domain=instance.failure_domain,
        epoch=instance.instance,
        ready=bool(instance.models),
        leaving=instance.leaving,
        slots=slots,
        wanted=(),
        running=0,
        queued=0,
        capacity=max(1, instance.capacity),
        revision=0,
    )


def forget(state: _state.State, name: str) -> None:
    """Forget an endpoint that is gone, and which requests wait there."""
    state.awaiting_adapter.pop(name, None)
    state.endpoint_by_peer = {
        peer: other
        for peer, other in state.endpoint_by_peer.items()
        if other != name
    }
