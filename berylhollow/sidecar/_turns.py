"""Fair queueing of waiting attempts.

Callers share the endpoint by the work charged to them, the adapters of a
caller share what it gets in the same way, and the requests for one adapter
are ordered by priority and age. Guards against a caller that sends more than
all others: first come, first served would give it nearly all capacity, and
the others' requests would be late. Each run is charged its expected cost,
so the order of arrival gives a caller no advantage.
"""

import collections
import collections.abc
import dataclasses

from berylhollow.sidecar import _state

Attempts = list[_state.Attempt]
MIN_WEIGHT = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """An attempt and the work charged to its flow once it is served."""

    attempt: _state.Attempt
    work_after: float


def fair_order(state: _state.State) -> Attempts:
    """Return the queued attempts in the order in which they may start."""
    by_caller: dict[str, Attempts] = collections.defaultdict(list)
    for attempt_id in state.queue:
        attempt = state.attempts[attempt_id]
        by_caller[attempt.offer.caller].append(attempt)
    turns: list[Turn] = []
    for caller, attempts in by_caller.items():
        weight = _caller_weight(state, caller)
        work_after = state.caller_shares.work_of(caller)
        for attempt in _order_within_caller(state, caller, attempts):
            work_after += run_cost(attempt) / weight
            turns.append(Turn(attempt, work_after))
    turns.sort(key=_turn_key)
    return [turn.attempt for turn in turns]


def charge_run(state: _state.State, attempt: _state.Attempt) -> None:
    """Charge a starting run to its caller and its adapter."""
    caller = attempt.offer.caller
    state.caller_shares.charge(
        caller, run_cost(attempt) / _caller_weight(state, caller)
    )
    adapters = state.adapter_shares.setdefault(caller, _state.FlowShares())
    adapters.charge(str(attempt.offer.adapter), run_cost(attempt))
    if len(state.adapter_shares) > _state.MAX_FLOWS:
        kept = state.caller_shares.work
        state.adapter_shares = {
            name: shares
            for name, shares in state.adapter_shares.items()
            if name in kept
        }


def run_cost(attempt: _state.Attempt) -> float:
    """Return the expected cost of a run in output tokens."""
    return max(1.0, attempt.offer.output_tokens)


def _order_within_caller(
    state: _state.State, caller: str, attempts: Attempts
) -> Attempts:
    by_adapter: dict[str, Attempts] = collections.defaultdict(list)
    for attempt in attempts:
        by_adapter[str(attempt.offer.adapter)].append(attempt)
    if len(by_adapter) == 1:
        return sorted(attempts, key=_priority_key)
    shares = state.adapter_shares.get(caller) or _state.FlowShares()
    turns: list[Turn] = []
    for adapter, waiting in by_adapter.items():
        work_after = shares.work_of(adapter)
        for attempt in sorted(waiting, key=_priority_key):
            work_after += run_cost(attempt)
            turns.append(Turn(attempt, work_after))
    turns.sort(key=_turn_key)
    return [turn.attempt for turn in turns]


def _caller_weight(state: _state.State, caller: str) -> float:
    """Return the caller's configured weight under contention."""
    if state.follower.current is None:
        return 1.0
    declared = state.follower.current.caller(caller)
    if declared is None:
        return 1.0
    return max(MIN_WEIGHT, declared.weight)


def _priority_key(attempt: _state.Attempt) -> tuple[int, int]:
    return -attempt.offer.priority, attempt.arrived_ms


def _turn_key(turn: Turn) -> tuple[float, int, int]:
    return turn.work_after, *_priority_key(turn.attempt)
