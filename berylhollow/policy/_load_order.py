"""Order of loads: most requests served first, late requests given up."""

import collections.abc

from berylhollow.policy import _types

MS_PER_SECOND = 1000
DEMAND_HORIZON_S = 1.0
"""Requests expected within this time count like waiting ones."""
AGE_WEIGHT_PER_S = 0.02
"""Value of a second of waiting, in requests. Breaks ties and bounds
starvation."""
PRIORITY_WEIGHT = 0.1
"""Value of one step of request priority, in requests."""
COLD_REQUESTS = 0.2
"""An adapter is cold if fewer requests than this are expected for it during
the time that its most urgent request can wait."""


class MostServed:
    """Loads first the adapter for which the load serves most requests.

    The weight store loads one adapter at a time and all loads take equally
    long, so each should serve as many requests as possible: those that wait
    and would be on time, and those expected soon. Requests whose load would
    come too late are given up at once, but only for an adapter in low
    demand. A popular one collects requests while it waits, and one load
    serves them all.
    """

    def plan(
        self,
        wants: collections.abc.Sequence[_types.AwaitedAdapter],
        interval_ms: float,
        weights: _types.Weights,
    ) -> _types.LoadPlan:
        order: list[_types.AwaitedAdapter] = []
        given_up: list[_types.LateLoad] = []
        for want in sorted(wants, key=_sort_key):
            wait_ms = len(order) * interval_ms
            late = _count_late(want, wait_ms)
            if late:
                given_up.append(_types.LateLoad(want.adapter, wait_ms))
            if late < want.timely_count:
                order.append(want)
        values = tuple(load_value(want) for want in order)
        return _types.LoadPlan(tuple(order), values, tuple(given_up))


def load_value(want: _types.AwaitedAdapter) -> float:
    """Return the value of a load, in requests that it would serve."""
    waiting = want.timely_count * (1 + PRIORITY_WEIGHT * want.priority)
    expected = DEMAND_HORIZON_S * want.rate
    age = AGE_WEIGHT_PER_S * want.oldest_wait_ms / MS_PER_SECOND
    return waiting + expected + age + want.adapter_priority


def _sort_key(want: _types.AwaitedAdapter) -> tuple[float, int, str]:
    """Order by value, then by the least slack, then by name."""
    return -load_value(want), min(want.slacks_ms, default=0), str(want.adapter)


def _count_late(want: _types.AwaitedAdapter, wait_ms: float) -> int:
    """Return how many requests to give up if the load begins in ``wait_ms``.

    None of an adapter that is not cold.
    """
    late = sum(slack_ms < wait_ms for slack_ms in want.slacks_ms)
    if not late:
        return 0
    lifetime_s = (want.slacks_ms[0] + want.oldest_wait_ms) / MS_PER_SECOND
    return late if want.rate * lifetime_s < COLD_REQUESTS else 0
