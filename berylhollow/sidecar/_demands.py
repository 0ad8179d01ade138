"""Inputs of the adapter policy: awaited adapters and slot values."""

from berylhollow import messages
from berylhollow import policy
from berylhollow.sidecar import _state

EMPTY_SLOT_VALUE = -1.0
HELD_OR_LOADING = (_state.SlotPhase.READY, _state.SlotPhase.LOADING)


def awaited_adapters(
    state: _state.State, at_ms: int
) -> list[policy.AwaitedAdapter]:
    """Return the adapters that requests wait for and no slot holds or loads.

    A load in flight serves all requests that wait for its adapter.
    """
    waiting: dict[messages.AdapterVersion, list[_state.Attempt]] = {}
    for attempt_id in state.queue:
        attempt = state.attempts[attempt_id]
        adapter = attempt.offer.adapter
        if adapter is not None:
            waiting.setdefault(adapter, []).append(attempt)
    present = {
        slot.adapter for slot in state.slots if slot.phase in HELD_OR_LOADING
    }
    return [
        _awaited_adapter(state, adapter, attempts, at_ms)
        for adapter, attempts in waiting.items()
        if adapter not in present
    ]


def slot_value(state: _state.State, slot: _state.Slot, at_ms: int) -> float:
    """Return the policy's value of keeping a slot's content."""
    if slot.phase is _state.SlotPhase.EMPTY or slot.adapter is None:
        return EMPTY_SLOT_VALUE
    return state.adapter_policy.eviction.value(
        held_adapter(state, slot, at_ms), at_ms
    )


def held_adapter(
    state: _state.State, slot: _state.Slot, at_ms: int
) -> policy.HeldAdapter:
    """Return the policy's view of a slot's adapter."""
    return policy.HeldAdapter(
        adapter=slot.adapter,
        loaded_ms=slot.loaded_ms,
        used_ms=slot.used_ms,
        runs=slot.runs,
        rate=state.adapter_policy.demand.rate(slot.adapter, at_ms),
        priority=priority_of(state, slot.adapter),
    )


def priority_of(state: _state.State, adapter: messages.AdapterVersion) -> int:
    """Return the configured priority of an adapter."""
    if state.follower.current is None:
        return 0
    declared = state.follower.current.adapter(adapter.adapter)
    return declared.priority if declared is not None else 0


def load_stall_ms(
    state: _state.State, attempt: _state.Attempt, at_ms: int
) -> int:
    """Return how long an attempt has waited for a load so far."""
    adapter = attempt.offer.adapter
    if adapter is None:
        return 0
    slot = state.ready_slot(adapter)
    until_ms = at_ms if slot is None else min(at_ms, slot.loaded_ms)
    return max(0, until_ms - attempt.arrived_ms)


def _awaited_adapter(
    state: _state.State,
    adapter: messages.AdapterVersion,
    attempts: list[_state.Attempt],
    at_ms: int,
) -> policy.AwaitedAdapter:
    slacks_ms = sorted(slack_ms(state, x, at_ms) for x in attempts)
    return policy.AwaitedAdapter(
        adapter=adapter,
        waiting=len(attempts),
        slacks_ms=tuple(slack for slack in slacks_ms if slack >= 0),
        oldest_wait_ms=at_ms - min(x.arrived_ms for x in attempts),
        priority=max(x.offer.priority for x in attempts),
        adapter_priority=priority_of(state, adapter),
        rate=state.adapter_policy.demand.rate(adapter, at_ms),
    )


def slack_ms(state: _state.State, attempt: _state.Attempt, at_ms: int) -> int:
    """Return how long a load can still wait for an attempt to be on time."""
    needed_ms = state.load_ms + expected_run_ms(state, attempt)
    return int(attempt.deadline_ms - at_ms - needed_ms)


def expected_run_ms(state: _state.State, attempt: _state.Attempt) -> float:
    """Return the expected duration of a run."""
    if attempt.offer.adapter is None:
        return state.run_ms
    return state.token_ms * max(1, attempt.offer.output_tokens)
