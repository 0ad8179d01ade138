"""Load shedding: refuses queued attempts that can't meet their deadline.

Guards against an overload that sustains itself: an attempt that waits until
it is too late takes a place in the queue, runs in vain, and its caller learns
of the failure only at the deadline, with no time left for an alternative.
Refusals then take as long as answers. So each queued attempt is checked
against the runs before it, whenever one is added and at each tick.
"""

import heapq

from berylhollow import effects
from berylhollow import errors
from berylhollow.sidecar import _demands
from berylhollow.sidecar import _runs
from berylhollow.sidecar import _state
from berylhollow.sidecar import _turns

Effects = list[effects.Effect]
MIN_RETRY_AFTER_MS = 100


def shed(state: _state.State, at_ms: int) -> Effects:
    """Refuse queued attempts that the runs before them would make late.

    A refused attempt leaves its capacity to those after it. Attempts that
    wait for a load are skipped; the load plan refuses those that are late.
    """
    if not state.run_ms or not state.queue:
        return []
    done: Effects = []
    free_ms = _free_ms(state, at_ms)
    for attempt in _turns.fair_order(state):
        if _is_waiting_for_load(state, attempt):
            continue
        begins_ms = free_ms[0]
        ends_ms = begins_ms + _demands.expected_run_ms(state, attempt)
        if ends_ms <= attempt.deadline_ms:
            heapq.heapreplace(free_ms, ends_ms)
            continue
        retry_ms = max(MIN_RETRY_AFTER_MS, int(begins_ms - at_ms))
        done += _runs.fail_unstarted(
            state,
            attempt,
            errors.Kind.CANNOT_BE_ON_TIME,
            at_ms,
            retry_ms,
        )
    return done


def _free_ms(state: _state.State, at_ms: int) -> list[float]:
    """Return when each unit of capacity becomes free, as a heap."""
    free_ms = [float(at_ms)] * state.capacity
    for index, attempt_id in enumerate(state.running):
        attempt = state.attempts[attempt_id]
        ends_ms = attempt.began_ms + _demands.expected_run_ms(state, attempt)
        free_ms[index % state.capacity] = max(at_ms, ends_ms)
    heapq.heapify(free_ms)
    return free_ms


def _is_waiting_for_load(state: _state.State, attempt: _state.Attempt) -> bool:
    adapter = attempt.offer.adapter
    return adapter is not None and state.ready_slot(adapter) is None
