"""Rules on which adapter may be loaded into which slot.

An engine finds the adapter of a run by name. If two slots hold the same
adapter, the run may use the slot on which it has no pin, and a load into that
slot would evict an adapter in use. So each slot records every adapter that it
may hold, also after an order that failed or was never answered, and nothing
is loaded into a slot that may hold an adapter pinned in any slot.

A slot whose last order has an unknown outcome is UNCERTAIN. This guards
against a late order: a load that hung, or whose answer was lost, may take
effect after another adapter was loaded over it and is in use, and a request
gets an answer of the wrong adapter. An engine that checks fencing numbers
refuses the late order, since each order has a higher number. With one that
does not, nothing may be loaded into the slot until the engine reports that
the order took effect, or the order can no longer be in flight. Not even the
same adapter: the late order may fail and leave the slot empty under its runs.
"""

from berylhollow import events
from berylhollow import messages
from berylhollow.sidecar import _state


def mark_uncertain(slot: _state.Slot, at_ms: int) -> None:
    """Mark a slot whose last order may still take effect."""
    slot.phase = _state.SlotPhase.UNCERTAIN
    slot.uncertain_since_ms = at_ms


def may_load(state: _state.State, slot: _state.Slot, at_ms: int) -> bool:
    """Tell whether an adapter may be loaded into a slot now."""
    if slot.phase is _state.SlotPhase.LOADING or _is_in_use(state, slot):
        return False
    if slot.phase is not _state.SlotPhase.UNCERTAIN:
        return True
    if state.options.checks_fencing:
        return True
    return at_ms >= slot.uncertain_since_ms + state.options.settle_ms


def candidate_slots(
    state: _state.State, adapter: messages.AdapterVersion
) -> list[_state.Slot]:
    """Return the slots into which an adapter may be loaded.

    Slots that may already hold it come first. If there are any and the
    engine doesn't check fencing numbers, only they are returned: a late order
    to one of them could otherwise change the slot in which the adapter runs.
    """
    holding = [slot for slot in state.slots if adapter in slot.may_hold]
    if holding and not state.options.checks_fencing:
        return holding
    others = [slot for slot in state.slots if slot not in holding]
    return [*holding, *others]


def mark_ordered(slot: _state.Slot, adapter: messages.AdapterVersion) -> None:
    """Record that an order to load an adapter is being sent."""
    slot.may_hold_before = slot.may_hold
    slot.may_hold |= {adapter}


def mark_loaded(slot: _state.Slot) -> None:
    """Record that the last order took effect."""
    slot.may_hold = frozenset((slot.adapter,))


def mark_not_done(slot: _state.Slot) -> None:
    """Record that the last order will never take effect."""
    slot.may_hold = slot.may_hold_before


def _is_in_use(state: _state.State, slot: _state.Slot) -> bool:
    return slot.pins > 0 or any(
        other.pins and other.adapter in slot.may_hold for other in state.slots
    )


def status(state: _state.State, event: events.EngineStatus) -> None:
    """Update the slots from the engine's status.

    A slot that this sidecar never loaded into may hold an adapter that its
    predecessor loaded. An UNCERTAIN slot becomes READY if the engine reports
    the ordered adapter in it.

    That order was this sidecar's own in the current epoch, so runs still use
    only what it loaded itself. A distrusted slot, which answered with another
    adapter, stays UNCERTAIN.
    """
    reported = {slot.slot: slot for slot in event.slots}
    for slot in state.slots:
        _record_reported_adapter(slot, reported.get(slot.number))
        if slot.phase is not _state.SlotPhase.UNCERTAIN or slot.distrusted:
            continue
        seen = reported.get(slot.number)
        if seen and seen.ready and seen.adapter == slot.adapter:
            slot.phase = _state.SlotPhase.READY
            mark_loaded(slot)


def _record_reported_adapter(
    slot: _state.Slot, seen: events.SlotState | None
) -> None:
    if seen is None or seen.adapter is None or slot.order_id:
        return
    slot.may_hold |= {seen.adapter}
