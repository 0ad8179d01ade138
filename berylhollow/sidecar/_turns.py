"""In which order waiting attempts get a place: fair queueing.

Callers take turns by the work that was done for them, adapters of one caller
by turns within the caller's share, and one adapter's requests by their own
priority and age. Guards against a caller who asks for more than all others:
first come first served would give it nearly every place, and the others'
requests would be late. It holds since a turn costs what the run is expected
to cost, whoever asked first.
"""

import collections
import collections.abc
import dataclasses

from berylhollow.sidecar import _state

Attempts = list[_state.Attempt]
LEAST_WEIGHT = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """An attempt and how much its caller has had once it is served."""

    attempt: _state.Attempt
    had: float


def order(state: _state.State) -> Attempts:
    """Return the waiting attempts in the order in which they get a place."""
    by_caller: dict[str, Attempts] = collections.defaultdict(list)
    for attempt_id in state.queue:
        attempt = state.attempts[attempt_id]
        by_caller[attempt.offer.caller].append(attempt)
    turns: list[Turn] = []
    for caller, attempts in by_caller.items():
        weight = _weight(state, caller)
        had = state.caller_shares.had(caller)
        for attempt in _within_caller(state, caller, attempts):
            had += cost(attempt) / weight
            turns.append(Turn(attempt, had))
    turns.sort(key=_by_turn)
    return [turn.attempt for turn in turns]


def begun(state: _state.State, attempt: _state.Attempt) -> None:
    """Charge a run that begins to its caller and its adapter."""
    caller = attempt.offer.caller
    state.caller_shares.charge(caller, cost(attempt) / _weight(state, caller))
    adapters = state.adapter_shares.setdefault(caller, _state.Shares())
    adapters.charge(str(attempt.offer.adapter), cost(attempt))
    if len(state.adapter_shares) > _state.MOST_FLOWS:
        kept = state.caller_shares.done
        state.adapter_shares = {
            name: shares
            for name, shares in state.adapter_shares.items()
            if name in kept
        }


def cost(attempt: _state.Attempt) -> float:
    """Return what a run takes of the endpoint, in tokens."""
    return max(1.0, attempt.offer.output_tokens)


def _within_caller(
    state: _state.State, caller: str, attempts: Attempts
) -> Attempts:
    by_adapter: dict[str, Attempts] = collections.defaultdict(list)
    for attempt in attempts:
        by_adapter[str(attempt.offer.adapter)].append(attempt)
    if len(by_adapter) == 1:
        return sorted(attempts, key=_by_priority)
    shares = state.adapter_shares.get(caller) or _state.Shares()
    turns: list[Turn] = []
    for adapter, waiting in by_adapter.items():
        had = shares.had(adapter)
        for attempt in sorted(waiting, key=_by_priority):
            had += cost(attempt)
            turns.append(Turn(attempt, had))
    turns.sort(key=_by_turn)
    return [turn.attempt for turn in turns]


def _weight(state: _state.State, caller: str) -> float:
    """Return the caller's declared share of contended room."""
    if state.follower.current is None:
        return 1.0
    declared = state.follower.current.caller(caller)
    if declared is None:
        return 1.0
    return max(LEAST_WEIGHT, declared.weight)


def _by_priority(attempt: _state.Attempt) -> tuple[int, int]:
    return -attempt.offer.priority, attempt.arrived_ms


def _by_turn(turn: Turn) -> tuple[float, int, int]:
    return turn.had, *_by_priority(turn.attempt)
