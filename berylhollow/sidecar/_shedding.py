"""Refuse early what can't be on time any more.

Guards against an overload that feeds on itself: what waits until it is too
late holds a place in the queue, runs for nobody, and its caller hears of it
only at the deadline, with no time left to do something else. It shows as
refusals that take as long as answers. It holds since each waiting attempt is
checked against the runs before it, whenever one is added and at each tick.
"""

import heapq

from berylhollow import effects
from berylhollow import errors
from berylhollow.sidecar import _demands
from berylhollow.sidecar import _runs
from berylhollow.sidecar import _state
from berylhollow.sidecar import _turns

Effects = list[effects.Effect]
SHORTEST_RETRY_MS = 100


def shed(state: _state.State, at_ms: int) -> Effects:
    """Refuse the waiting attempts that the runs before them make late.

    An attempt that is refused makes room for those after it. One that waits
    for a load is left to the order of loads.
    """
    if not state.run_ms or not state.queue:
        return []
    done: Effects = []
    free_ms = _free_ms(state, at_ms)
    for attempt in _turns.order(state):
        if _waits_for_load(state, attempt):
            continue
        begins_ms = free_ms[0]
        ends_ms = begins_ms + _demands.run_ms(state, attempt)
        if ends_ms <= attempt.deadline_ms:
            heapq.heapreplace(free_ms, ends_ms)
            continue
        retry_ms = max(SHORTEST_RETRY_MS, int(begins_ms - at_ms))
        done += _runs.end_unrun(
            state,
            attempt,
            errors.Kind.CANNOT_BE_ON_TIME,
            at_ms,
            retry_ms,
        )
    return done


def _free_ms(state: _state.State, at_ms: int) -> list[float]:
    """Return when each place is free, as a heap."""
    free_ms = [float(at_ms)] * state.capacity
    for place, attempt_id in enumerate(state.running):
        attempt = state.attempts[attempt_id]
        ends_ms = attempt.began_ms + _demands.run_ms(state, attempt)
        free_ms[place % state.capacity] = max(at_ms, ends_ms)
    heapq.heapify(free_ms)
    return free_ms


def _waits_for_load(state: _state.State, attempt: _state.Attempt) -> bool:
    adapter = attempt.offer.adapter
    return adapter is not None and state.slot_with(adapter) is None
