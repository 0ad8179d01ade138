"""What may be ordered into a slot whose last order has no known outcome.

Guards against a late order: a load that hung, or whose answer was lost, may
still take effect after another adapter was loaded over it and is in use. It
shows as an answer of the wrong adapter. An engine that checks fencing
numbers refuses the late one, since each order has a higher number. For one
that does not, only the same adapter may be ordered until the engine shows
that the order took effect, or no order can be under way any more.
"""

from berylhollow import events
from berylhollow import messages
from berylhollow.sidecar import _state


def uncertain(slot: _state.Slot, at_ms: int) -> None:
    """Note that the last order of a slot may still take effect."""
    slot.phase = _state.SlotPhase.UNCERTAIN
    slot.uncertain_ms = at_ms


def may_load(
    state: _state.State,
    slot: _state.Slot,
    adapter: messages.AdapterVersion,
    at_ms: int,
) -> bool:
    """Tell whether a slot may be ordered to load an adapter now."""
    if slot.pins or slot.phase is _state.SlotPhase.LOADING:
        return False
    if slot.phase is not _state.SlotPhase.UNCERTAIN:
        return True
    if state.options.checks_fencing or slot.adapter == adapter:
        return True
    return at_ms >= slot.uncertain_ms + state.options.settle_ms


def status(state: _state.State, event: events.EngineStatus) -> None:
    """Take a slot whose uncertain order shows as done for ready.

    It is our own order of this epoch, so the rule that a sidecar runs only
    on what it loaded itself still holds. A distrusted slot, which answered
    with another adapter, is not taken back.
    """
    reported = {slot.slot: slot for slot in event.slots}
    for slot in state.slots:
        if slot.phase is not _state.SlotPhase.UNCERTAIN or slot.distrusted:
            continue
        seen = reported.get(slot.number)
        if seen and seen.ready and seen.adapter == slot.adapter:
            slot.phase = _state.SlotPhase.READY
