"""Order of loads: what serves most goes first, what can't be served goes."""

import collections.abc

from berylhollow.policy import _types

MS_PER_SECOND = 1000
DEMAND_HORIZON_S = 1.0
"""Requests expected within this time count like waiting ones."""
AGE_PER_S = 0.02
"""Worth of a second of waiting, in requests: breaks ties, bounds hunger."""
PRIORITY_WORTH = 0.1
"""Worth of one step of a request's priority, in requests."""
COLD_REQUESTS = 0.2
"""An adapter with fewer requests expected meanwhile has no other use."""


class MostServed:
    """Load first what most requests wait for, as long as it is of use.

    The weight store loads one adapter at a time and all loads take the same,
    so each should serve as many requests as can be: those that wait and
    would be on time, and those expected soon. An adapter whose turn would
    come too late is given up at once, but only if hardly anyone else is
    expected to ask for it: a wanted one gathers requests while it waits, and
    one load serves them all.
    """

    def plan(
        self,
        wants: collections.abc.Sequence[_types.Want],
        interval_ms: float,
        weights: _types.Weights,
    ) -> _types.LoadPlan:
        order: list[_types.Want] = []
        given_up: list[_types.GivenUp] = []
        for want in sorted(wants, key=_by_worth):
            wait_ms = len(order) * interval_ms
            late = _late(want, wait_ms)
            if late:
                given_up.append(_types.GivenUp(want.adapter, wait_ms))
            if late < want.timely:
                order.append(want)
        values = tuple(worth(want) for want in order)
        return _types.LoadPlan(tuple(order), values, tuple(given_up))


def worth(want: _types.Want) -> float:
    """Return how many requests a load would serve."""
    waiting = want.timely * (1 + PRIORITY_WORTH * want.priority)
    expected = DEMAND_HORIZON_S * want.rate
    age = AGE_PER_S * want.oldest_wait_ms / MS_PER_SECOND
    return waiting + expected + age + want.adapter_priority


def _by_worth(want: _types.Want) -> tuple[float, int, str]:
    return -worth(want), min(want.slacks_ms, default=0), str(want.adapter)


def _late(want: _types.Want, wait_ms: float) -> int:
    """Return how many requests should not wait for this load any longer."""
    late = sum(slack_ms < wait_ms for slack_ms in want.slacks_ms)
    if not late:
        return 0
    life_s = (want.slacks_ms[0] + want.oldest_wait_ms) / MS_PER_SECOND
    return late if want.rate * life_s < COLD_REQUESTS else 0
