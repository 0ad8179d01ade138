"""What the sidecar tells its gateways of its endpoint now and then."""

from berylhollow import effects
from berylhollow import messages
from berylhollow.sidecar import _demands
from berylhollow.sidecar import _state

Effects = list[effects.Effect]


def tick(state: _state.State, at_ms: int) -> Effects:
    """Report to every linked gateway when it is due."""
    if at_ms - state.reported_ms < state.options.report_ms:
        return []
    state.reported_ms = at_ms
    report = _report(state, at_ms)
    return [effects.Send(peer, report) for peer in state.links]


def tell(state: _state.State, peer: str, at_ms: int) -> Effects:
    """Report to one gateway now."""
    return [effects.Send(peer, _report(state, at_ms))]


def tell_all(state: _state.State, at_ms: int) -> Effects:
    """Report to every linked gateway now."""
    report = _report(state, at_ms)
    return [effects.Send(peer, report) for peer in state.links]


def _report(state: _state.State, at_ms: int) -> messages.Report:
    current = state.follower.current
    values = [
        _demands.slot_value(state, slot, at_ms)
        for slot in state.slots
        if slot.pins == 0
    ]
    return messages.Report(
        instance=state.options.instance,
        service=state.options.service,
        failure_domain=state.options.failure_domain,
        epoch=state.epoch,
        ready=state.reachable,
        leaving=state.stopping,
        slots=tuple(_slot(slot) for slot in state.slots),
        wanted=_wanted(state),
        running=len(state.running),
        queued=len(state.queue),
        capacity=state.capacity,
        revision=current.revision if current else 0,
        run_ms=state.run_ms,
        evictable=bool(values),
        victim_value=min(values, default=0.0),
    )


def _slot(slot: _state.Slot) -> messages.SlotReport:
    ready = slot.phase is _state.SlotPhase.READY
    return messages.SlotReport(slot.number, slot.adapter, ready, slot.pins)


def _wanted(state: _state.State) -> tuple[messages.AdapterVersion, ...]:
    adapters = dict.fromkeys(
        state.attempts[attempt_id].offer.adapter for attempt_id in state.queue
    )
    adapters.pop(None, None)
    return tuple(adapters)
