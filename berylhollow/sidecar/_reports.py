"""Reports on the endpoint that the sidecar sends to its gateways."""

import dataclasses

from berylhollow import effects
from berylhollow import messages
from berylhollow.sidecar import _demands
from berylhollow.sidecar import _state

Effects = list[effects.Effect]


def tick(state: _state.State, at_ms: int) -> Effects:
    """Report to every linked gateway if that is due and not redundant."""
    if at_ms - state.last_report_ms < state.options.report_ms:
        return []
    report = _make_report(state, at_ms)
    if _is_redundant(state, report, at_ms):
        return []
    state.last_report_ms = at_ms
    state.reported = report
    return [effects.Send(peer, report) for peer in state.links]


def report_to(state: _state.State, peer: str, at_ms: int) -> Effects:
    """Send a report to one gateway now."""
    return [effects.Send(peer, _make_report(state, at_ms))]


def report_to_all(state: _state.State, at_ms: int) -> Effects:
    """Send a report to every linked gateway now."""
    report = _make_report(state, at_ms)
    return [effects.Send(peer, report) for peer in state.links]


def _make_report(state: _state.State, at_ms: int) -> messages.Report:
    current = state.follower.current
    slot_values = [
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
        slots=tuple(_slot_report(slot) for slot in state.slots),
        wanted=_wanted_adapters(state),
        running=len(state.running),
        queued=len(state.queue),
        capacity=state.capacity,
        revision=current.revision if current else 0,
        run_ms=state.run_ms,
        evictable=bool(slot_values),
        victim_value=min(slot_values, default=0.0),
    )


def _is_redundant(
    state: _state.State, report: messages.Report, at_ms: int
) -> bool:
    """Return whether an idle endpoint would only repeat its last report.

    Without this a gateway with a hundred idle endpoints would spend more on
    their reports than its budget for control traffic allows. Gateways miss
    nothing: one whose link opens gets a report at once, and links keep the
    order of messages. While there are requests the report is always sent.
    Equal counts may then stand for other requests, and a gateway takes the
    report to cover all that it had offered before.
    """
    last = state.reported
    if last is None or report.running or report.queued:
        return False
    if at_ms - state.last_report_ms >= state.options.idle_report_interval_ms:
        return False
    # The value decays with time, so a changed value alone is no news.
    comparable = dataclasses.replace(report, victim_value=last.victim_value)
    return comparable == last


def _slot_report(slot: _state.Slot) -> messages.SlotReport:
    ready = slot.phase is _state.SlotPhase.READY
    return messages.SlotReport(slot.number, slot.adapter, ready, slot.pins)


def _wanted_adapters(
    state: _state.State,
) -> tuple[messages.AdapterVersion, ...]:
    adapters = dict.fromkeys(
        state.attempts[attempt_id].offer.adapter for attempt_id in state.queue
    )
    adapters.pop(None, None)
    return tuple(adapters)
