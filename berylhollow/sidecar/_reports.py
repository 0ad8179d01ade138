"""What the sidecar tells its gateways of its endpoint now and then."""

import dataclasses

from berylhollow import effects
from berylhollow import messages
from berylhollow.sidecar import _demands
from berylhollow.sidecar import _state

Effects = list[effects.Effect]


def tick(state: _state.State, at_ms: int) -> Effects:
    """Report to every linked gateway when it is due and says anything."""
    if at_ms - state.reported_ms < state.options.report_ms:
        return []
    report = _report(state, at_ms)
    if _says_nothing_new(state, report, at_ms):
        return []
    state.reported_ms = at_ms
    state.reported = report
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


def _says_nothing_new(
    state: _state.State, report: messages.Report, at_ms: int
) -> bool:
    """Tell whether an idle endpoint would only repeat itself.

    A gateway with a hundred idle endpoints would otherwise spend more on
    their reports than it may spend on control. A gateway whose link opens
    is told at once, and links are ordered, so it misses nothing. While
    requests are here the report goes out in any case: equal counts may be
    those of other requests, and a gateway takes the report for word of the
    ones that it had offered by then.
    """
    last = state.reported
    if last is None or report.running or report.queued:
        return False
    if at_ms - state.reported_ms >= state.options.report_idle_ms:
        return False
    # The value of the slots fades with every millisecond that passes.
    faded = dataclasses.replace(report, victim_value=last.victim_value)
    return faded == last


def _slot(slot: _state.Slot) -> messages.SlotReport:
    ready = slot.phase is _state.SlotPhase.READY
    return messages.SlotReport(slot.number, slot.adapter, ready, slot.pins)


def _wanted(state: _state.State) -> tuple[messages.AdapterVersion, ...]:
    adapters = dict.fromkeys(
        state.attempts[attempt_id].offer.adapter for attempt_id in state.queue
    )
    adapters.pop(None, None)
    return tuple(adapters)
