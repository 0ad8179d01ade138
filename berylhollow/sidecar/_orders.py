"""What may be ordered into which slot.

An engine finds the adapter of a run by its name. If two slots hold one
adapter, the run may be in the slot whose pins we did not count, and a load
into that one would evict an adapter in use. So we remember what each slot may
hold, also after an order that failed or was never answered, and order nothing
into a slot that may hold an adapter which is pinned anywhere.

A slot whose last order has no known outcome guards against a late order: a
load that hung, or whose answer was lost, may still take effect after another
adapter was loaded over it and is in use. It shows as an answer of the wrong
adapter. An engine that checks fencing numbers refuses the late one, since
each order has a higher number. For one that does not, nothing may be ordered
until the engine shows that the order took effect, or no order can be under
way any more: not even the same adapter again, since the late order may fail
and leave the slot empty under its runs.
"""

from berylhollow import events
from berylhollow import messages
from berylhollow.sidecar import _state


def uncertain(slot: _state.Slot, at_ms: int) -> None:
    """Note that the last order of a slot may still take effect."""
    slot.phase = _state.SlotPhase.UNCERTAIN
    slot.uncertain_ms = at_ms


def may_load(state: _state.State, slot: _state.Slot, at_ms: int) -> bool:
    """Tell whether a slot may be ordered to load an adapter now."""
    if slot.phase is _state.SlotPhase.LOADING or _in_use(state, slot):
        return False
    if slot.phase is not _state.SlotPhase.UNCERTAIN:
        return True
    if state.options.checks_fencing:
        return True
    return at_ms >= slot.uncertain_ms + state.options.settle_ms


def homes(
    state: _state.State, adapter: messages.AdapterVersion
) -> list[_state.Slot]:
    """Return the slots into which an adapter is best loaded.

    Where it may be already; and with an engine that would take a late order
    nowhere else, or that order could change the slot in which it runs.
    """
    holding = [slot for slot in state.slots if adapter in slot.may_hold]
    if holding and not state.options.checks_fencing:
        return holding
    others = [slot for slot in state.slots if slot not in holding]
    return [*holding, *others]


def ordered(slot: _state.Slot, adapter: messages.AdapterVersion) -> None:
    """Note that an order to load an adapter is on its way."""
    slot.held_before = slot.may_hold
    slot.may_hold |= {adapter}


def loaded(slot: _state.Slot) -> None:
    """Note that the order took effect."""
    slot.may_hold = frozenset((slot.adapter,))


def not_done(slot: _state.Slot) -> None:
    """Note that the order will never take effect."""
    slot.may_hold = slot.held_before


def _in_use(state: _state.State, slot: _state.Slot) -> bool:
    return slot.pins > 0 or any(
        other.pins and other.adapter in slot.may_hold for other in state.slots
    )


def status(state: _state.State, event: events.EngineStatus) -> None:
    """Learn from the engine what its slots hold.

    Into a slot that we never ordered a predecessor may have loaded. A slot
    whose uncertain order shows as done is taken for ready.

    It is our own order of this epoch, so the rule that a sidecar runs only
    on what it loaded itself still holds. A distrusted slot, which answered
    with another adapter, is not taken back.
    """
    reported = {slot.slot: slot for slot in event.slots}
    for slot in state.slots:
        _note_predecessor(slot, reported.get(slot.number))
        if slot.phase is not _state.SlotPhase.UNCERTAIN or slot.distrusted:
            continue
        seen = reported.get(slot.number)
        if seen and seen.ready and seen.adapter == slot.adapter:
            slot.phase = _state.SlotPhase.READY
            loaded(slot)


def _note_predecessor(
    slot: _state.Slot, seen: events.SlotState | None
) -> None:
    if seen is None or seen.adapter is None or slot.order_id:
        return
    slot.may_hold |= {seen.adapter}
