"""Links to the sidecars beside direct endpoints, and their reports.

Without its sidecar an endpoint goes on serving what it holds, which the
instance list tells with a lag; only loads wait for the sidecar.
"""

from berylhollow import clock
from berylhollow import effects
from berylhollow import events
from berylhollow.gateway import _adapters
from berylhollow.gateway import _backlog
from berylhollow.gateway import _link_pacing
from berylhollow.gateway import _model_loads
from berylhollow.gateway import _quotas
from berylhollow.gateway import _shared_reads
from berylhollow.gateway import _state
from berylhollow import messages
from berylhollow.util import addresses

Effects = list[effects.Effect]

SILENT_MS = 2500
"""Without a report for so long a link is given up: a sidecar reports every
second at least. Connections go silent without a reset, and nothing is loaded
for us over one that has."""

STALLED_MS = 500
"""A tick that is later by so much found us stalled, not the sidecars silent:
what they said meanwhile has not been read yet."""


def listed(state: _state.State) -> None:
    """Take in which endpoints stand where; forget sidecars of none."""
    beside = {}
    for name, endpoint in state.endpoints.items():
        instance = endpoint.instance
        if instance.direct and _has_adapters(state, instance.service):
            peer = addresses.beside(instance.address)
            beside[peer] = _newest(state, beside.get(peer), name)
            _add(state, peer, instance)
    for peer, name in beside.items():
        if state.beside.get(peer) != name:
            # It waits to be told which endpoint it has to order.
            state.sidecars[peer].told_ms = clock.NEVER_MS
    state.beside = beside
    for peer, name in beside.items():
        _apply(state, state.sidecars[peer], state.endpoints[name])
    _shared_reads.choose(state)
    _quotas.choose(state)


def tick(state: _state.State, at_ms: int) -> Effects:
    """Open links that are missing, close those that lead nowhere."""
    done: Effects = []
    stalled = at_ms - state.ticked_ms >= STALLED_MS
    state.ticked_ms = at_ms
    for peer, sidecar in list(state.sidecars.items()):
        if peer not in state.beside:
            del state.sidecars[peer]
            done.append(effects.CloseLink(peer))
            continue
        if sidecar.link is _state.LinkPhase.OPEN and not stalled:
            done += _silent(peer, sidecar, at_ms)
        if sidecar.link is not _state.LinkPhase.CLOSED:
            continue
        if at_ms >= sidecar.retry_at_ms:
            sidecar.link = _state.LinkPhase.OPENING
            done.append(effects.OpenLink(peer, sidecar.address))
    return done + _adapters.tick(state, at_ms)


def _silent(peer: str, sidecar: _state.Sidecar, at_ms: int) -> Effects:
    """Close a link on which reports came and come no more."""
    silent_ms = at_ms - sidecar.heard_ms
    if sidecar.report is None or silent_ms < SILENT_MS:
        return []
    # Closing takes a moment; it is not to be asked for at every tick of it.
    sidecar.heard_ms = at_ms
    fields = (('peer', peer), ('silent_ms', silent_ms))
    return [
        effects.Log('sidecar is silent', fields, warning=True),
        effects.CloseLink(peer),
    ]


def opened(state: _state.State, event: events.LinkOpened) -> Effects:
    """A sidecar can be told what is needed."""
    sidecar = state.sidecars[event.peer]
    sidecar.link = _state.LinkPhase.OPEN
    sidecar.refusals = 0
    done = [effects.Log('sidecar linked', (('peer', event.peer),))]
    done += _adapters.tell(state, event.peer, event.at_ms)
    _shared_reads.choose(state)
    _quotas.choose(state)
    return done


def closed(
    state: _state.State, event: events.LinkClosed | events.LinkRefused
) -> Effects:
    """Go on by the instance list; try the link again after a pause."""
    sidecar = state.sidecars[event.peer]
    was_open = sidecar.link is _state.LinkPhase.OPEN
    sidecar.link = _state.LinkPhase.CLOSED
    _shared_reads.choose(state)
    _quotas.choose(state)
    sidecar.report = None
    sidecar.told_tokens = 0
    sidecar.refusals += 1
    pause_ms = _link_pacing.pause_ms(state, event.peer, sidecar.refusals)
    sidecar.retry_at_ms = event.at_ms + pause_ms
    name = state.beside.get(event.peer)
    if name is not None:
        # What others had waiting there grows old without its reports.
        state.endpoints[name].others_tokens = 0
        _apply(state, sidecar, state.endpoints[name])
    if not was_open:
        return []
    fields = (('peer', event.peer), ('retry_in_ms', pause_ms))
    return [effects.Log('sidecar lost', fields, warning=True)]


def reported(
    state: _state.State, event: events.MessageReceived
) -> list[_state.ActiveRequest]:
    """Keep a report; return the requests that may have waited for it."""
    sidecar = state.sidecars[event.peer]
    sidecar.report = event.message
    sidecar.heard_ms = event.at_ms
    # One that has just started has links to few of them yet.
    reports = (each.report for each in state.sidecars.values())
    state.gateways = max(
        report.gateways for report in reports if report is not None
    )
    state.told_revision = max(state.told_revision or 0, event.message.revision)
    name = state.beside.get(event.peer)
    if name is None:
        return []
    endpoint = state.endpoints[name]
    endpoint.report_at_ms = event.at_ms
    before = endpoint.report
    endpoint.others_tokens = _backlog.others(
        event.message, sidecar.told_tokens
    )
    _apply(state, sidecar, endpoint)
    if before is None or before.model_load is not event.message.model_load:
        _tell_all_soon(state, endpoint.instance.service)
    return _adapters.waiting_at(state, name)


def _tell_all_soon(state: _state.State, service: str) -> None:
    """Tell the sidecars of a service at the next tick whose turn it is."""
    for peer, name in state.beside.items():
        if state.endpoints[name].instance.service == service:
            state.sidecars[peer].told_ms = clock.NEVER_MS


def _has_adapters(state: _state.State, service: str) -> bool:
    view = state.follower.current
    return view is not None and view.adapter_slots(service) > 0


def _newest(state: _state.State, other: str | None, name: str) -> str:
    """Of two endpoints listed at one address, take the one that stays."""
    if other is None or not state.endpoints[other].usable:
        return name
    return name if state.endpoints[name].usable else other


def _add(state: _state.State, peer: str, instance: events.Instance) -> None:
    if peer not in state.sidecars:
        host = instance.address.rpartition(':')[0]
        address = f'{host}:{state.options.sidecar_port}'
        state.sidecars[peer] = _state.Sidecar(address)


def _apply(
    state: _state.State, sidecar: _state.Sidecar, endpoint: _state.Endpoint
) -> None:
    """Take over what a sidecar says, or the list where it says nothing.

    A report of an endpoint with another name is of no use: the adapters are
    another's. One of the same name and another start is newer than the list,
    which still has the start before: what that one held is gone.
    """
    name = endpoint.instance.instance
    report = sidecar.report
    if report is None or not _is_about(report, endpoint.instance):
        report = _listed_report(endpoint.instance)
    if report == endpoint.report:
        return
    endpoint.placed_at_report = len(endpoint.placed)
    state.placement.replace(name, endpoint.report, report)
    endpoint.report = report
    _model_loads.note(state, name)


def _is_about(report: messages.Report, instance: events.Instance) -> bool:
    """Tell whether a report may be of what is listed, whenever it started."""
    if report.epoch in ('', instance.instance):
        return True
    return messages.Incarnation.is_start_of(report.epoch, instance.listed_name)


def _listed_report(instance: events.Instance) -> messages.Report:
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
    """An endpoint is gone: nothing waits for adapters there any more."""
    state.awaiting.pop(name, None)
    state.beside = {
        peer: other for peer, other in state.beside.items() if other != name
    }
