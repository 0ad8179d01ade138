"""Which adapter is loaded next, and into which slot."""

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow.sidecar import _demands
from berylhollow.sidecar import _orders
from berylhollow.sidecar import _runs
from berylhollow.sidecar import _state
from berylhollow.sidecar import _takeover

Effects = list[effects.Effect]
MAX_BACKOFF_DOUBLINGS = 5


def order(state: _state.State, at_ms: int) -> Effects:
    """Order the load that waits first, if a slot can be had for it."""
    if state.options.plain or not _takeover.may_order(state, at_ms):
        return []
    if any(slot.phase is _state.SlotPhase.LOADING for slot in state.slots):
        return []
    for adapter in _wanted(state, at_ms):
        slot = _victim(state, adapter, at_ms)
        if slot is None:
            continue
        return [_load(state, slot, adapter)]
    return []


def succeeded(state: _state.State, event: events.LoadSucceeded) -> Effects:
    """A slot is ready, if the engine is still the one that was ordered."""
    slot = state.slot_of_order(event.order_id)
    if slot is None or event.epoch != state.epoch:
        return []
    if slot.phase not in (
        _state.SlotPhase.LOADING,
        _state.SlotPhase.UNCERTAIN,
    ):
        return []
    slot.phase = _state.SlotPhase.READY
    slot.used_ms = event.at_ms
    slot.loaded_ms = event.at_ms
    slot.runs = 0
    state.backoffs.pop(slot.adapter, None)
    done = _runs.dispatch(state, event.at_ms)
    return done + order(state, event.at_ms)


def failed(state: _state.State, event: events.LoadFailed) -> Effects:
    """Let the adapter wait before the next try, the others go on."""
    slot = state.slot_of_order(event.order_id)
    if slot is None or slot.phase is not _state.SlotPhase.LOADING:
        return []
    adapter = slot.adapter
    if event.certainty is events.Certainty.UNKNOWN:
        _orders.uncertain(slot, event.at_ms)
    else:
        slot.phase = _state.SlotPhase.EMPTY
        slot.adapter = None
    _back_off(state, adapter, event.at_ms)
    return order(state, event.at_ms)


def _wanted(state: _state.State, at_ms: int) -> list[messages.AdapterVersion]:
    """Return the adapters to be loaded, as the policy orders them."""
    wants = _demands.wants(state, at_ms)
    scores = {
        want.adapter: state.adapter_policy.load_order.score(want)
        for want in wants
        if _due(state, want.adapter, at_ms)
    }
    return sorted(scores, key=lambda adapter: (-scores[adapter], str(adapter)))


def _due(
    state: _state.State, adapter: messages.AdapterVersion, at_ms: int
) -> bool:
    backoff = state.backoffs.get(adapter)
    return backoff is None or at_ms >= backoff.until_ms


def _victim(
    state: _state.State, adapter: messages.AdapterVersion, at_ms: int
) -> _state.Slot | None:
    """Return the slot to load into: an empty one, else the least valuable.

    Only a slot without pins: whatever the policy says, an adapter in use is
    never evicted.
    """
    free = [
        slot
        for slot in state.slots
        if _orders.may_load(state, slot, adapter, at_ms)
    ]
    return min(
        free,
        key=lambda slot: _demands.slot_value(state, slot, at_ms),
        default=None,
    )


def _load(
    state: _state.State,
    slot: _state.Slot,
    adapter: messages.AdapterVersion,
) -> effects.LoadAdapter:
    state.orders += 1
    slot.order_id = f'{state.incarnation}.{state.orders}'
    slot.phase = _state.SlotPhase.LOADING
    slot.adapter = adapter
    slot.distrusted = False
    return effects.LoadAdapter(
        slot.order_id,
        slot.number,
        adapter,
        _takeover.next_fence(state),
        state.epoch,
        state.options.load_timeout_ms,
    )


def _back_off(
    state: _state.State, adapter: messages.AdapterVersion, at_ms: int
) -> None:
    backoff = state.backoffs.setdefault(adapter, _state.Backoff())
    doublings = min(backoff.failures, MAX_BACKOFF_DOUBLINGS)
    backoff.failures += 1
    backoff.until_ms = at_ms + state.options.load_backoff_ms * 2**doublings
    backoff.reason = errors.Kind.LOAD_FAILED
