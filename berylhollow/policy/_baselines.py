"""Simple policies that the product's own is measured against."""

import collections.abc

from berylhollow.policy import _rendezvous
from berylhollow.policy import _types


class LeastLoaded:
    """The least loaded endpoint, whatever it holds."""

    def choose(
        self, query: _types.RouteQuery, fleet: _types.Fleet
    ) -> str | None:
        return fleet.least_loaded()


class HolderLeastLoaded:
    """The least loaded holder, else the least loaded endpoint."""

    def choose(
        self, query: _types.RouteQuery, fleet: _types.Fleet
    ) -> str | None:
        if query.adapter is None:
            return fleet.least_loaded()
        holders = fleet.holders(query.adapter)
        if not holders:
            holders = fleet.awaiting(query.adapter)
        if not holders:
            return fleet.least_loaded()
        return min(holders, key=lambda name: (load(fleet, name), name))


class StaticHash:
    """The first endpoint of the adapter's rendezvous order."""

    def choose(
        self, query: _types.RouteQuery, fleet: _types.Fleet
    ) -> str | None:
        if query.adapter is None:
            return fleet.least_loaded()
        return next(fleet.ranked(query.adapter), None)


class RandomChoice:
    """Any endpoint."""

    def choose(
        self, query: _types.RouteQuery, fleet: _types.Fleet
    ) -> str | None:
        names = fleet.names()
        if not names:
            return None
        return names[int(query.seed * len(names))]


def load(fleet: _types.Fleet, name: str) -> float:
    """Return the requests in flight for each place in the batch."""
    view = fleet.view(name)
    return view.in_flight / max(1, view.capacity)


class OldestFirst:
    """Load what has been waited for the longest; give nothing up."""

    def plan(
        self,
        wants: collections.abc.Sequence[_types.Want],
        interval_ms: float,
        weights: _types.Weights,
    ) -> _types.LoadPlan:
        order = sorted(
            wants, key=lambda want: (-want.oldest_wait_ms, str(want.adapter))
        )
        values = tuple(float(want.oldest_wait_ms) for want in order)
        return _types.LoadPlan(tuple(order), values)


class LeastRecentlyUsed:
    """Evict the adapter that was used the longest ago."""

    def value(self, held: _types.Held, at_ms: int) -> float:
        return held.used_ms

    def worth_it(self, gain: float, loss: float) -> bool:
        return False


class RandomEviction:
    """Evict any adapter, by a hash of its name and the moment."""

    def value(self, held: _types.Held, at_ms: int) -> float:
        return _rendezvous.score(_rendezvous.digest(str(held.adapter)), at_ms)

    def worth_it(self, gain: float, loss: float) -> bool:
        return False
