"""Which adapter is loaded next, and into which slot."""

import collections

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow.sidecar import _runs
from berylhollow.sidecar import _state
from berylhollow.sidecar import _takeover

Effects = list[effects.Effect]
MAX_BACKOFF_DOUBLINGS = 5


def order(state: _state.State, at_ms: int) -> Effects:
    """Order the load that waits first, if a slot can be had for it."""
    if state.options.plain or not _takeover.may_order(state):
        return []
    if any(slot.phase is _state.SlotPhase.LOADING for slot in state.slots):
        return []
    for adapter in _wanted(state, at_ms):
        slot = _victim(state)
        if slot is None:
            return []
        return [_load(state, slot, adapter)]
    return []


def succeeded(state: _state.State, event: events.LoadSucceeded) -> Effects:
    """A slot is ready, if the engine is still the one that was ordered."""
    slot = state.slot_of_order(event.order_id)
    if slot is None or event.epoch != state.epoch:
        return []
    if slot.phase is not _state.SlotPhase.LOADING:
        return []
    slot.phase = _state.SlotPhase.READY
    slot.used_ms = event.at_ms
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
        slot.phase = _state.SlotPhase.UNCERTAIN
    else:
        slot.phase = _state.SlotPhase.EMPTY
        slot.adapter = None
    _back_off(state, adapter, event.at_ms)
    return order(state, event.at_ms)


def _wanted(state: _state.State, at_ms: int) -> list:
    """Return the adapters that attempts wait for, most wanted first."""
    waiting = collections.Counter(
        state.attempts[attempt_id].offer.adapter for attempt_id in state.queue
    )
    waiting.pop(None, None)
    return [
        adapter
        for adapter in waiting
        if state.slot_with(adapter) is None and _due(state, adapter, at_ms)
    ]


def _due(
    state: _state.State, adapter: messages.AdapterVersion, at_ms: int
) -> bool:
    backoff = state.backoffs.get(adapter)
    return backoff is None or at_ms >= backoff.until_ms


def _victim(state: _state.State) -> _state.Slot | None:
    """Return the slot to load into: an empty one, else the least recent."""
    free = [slot for slot in state.slots if slot.pins == 0]
    if not free:
        return None
    return min(
        free,
        key=lambda slot: (
            slot.phase is not _state.SlotPhase.EMPTY,
            slot.used_ms,
        ),
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
    return effects.LoadAdapter(
        slot.order_id,
        slot.number,
        adapter,
        state.fence,
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
