"""Simple policies that serve as baselines in comparisons."""

import collections.abc

from berylhollow.policy import _rendezvous
from berylhollow.policy import _types


class LeastLoaded:
    """Routes to the least loaded endpoint, whatever adapters it holds."""

    def choose(
        self, query: _types.RouteQuery, fleet: _types.Fleet
    ) -> str | None:
        return fleet.least_loaded()


class HolderLeastLoaded:
    """Routes to the least loaded holder, else the least loaded endpoint."""

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
        return min(holders, key=lambda name: (load_ratio(fleet, name), name))


class StaticHash:
    """Routes to the first endpoint in the adapter's rendezvous order."""

    def choose(
        self, query: _types.RouteQuery, fleet: _types.Fleet
    ) -> str | None:
        if query.adapter is None:
            return fleet.least_loaded()
        return next(fleet.ranked(query.adapter), None)


class RandomChoice:
    """Routes to an endpoint picked at random."""

    def choose(
        self, query: _types.RouteQuery, fleet: _types.Fleet
    ) -> str | None:
        names = fleet.names()
        if not names:
            return None
        return names[int(query.seed * len(names))]


def load_ratio(fleet: _types.Fleet, name: str) -> float:
    """Return an endpoint's requests in flight per unit of batch capacity."""
    view = fleet.view(name)
    return view.in_flight / max(1, view.capacity)


class OldestFirst:
    """Loads the adapter that was waited for longest; never gives one up."""

    def plan(
        self,
        wants: collections.abc.Sequence[_types.AwaitedAdapter],
        interval_ms: float,
        weights: _types.Weights,
    ) -> _types.LoadPlan:
        order = sorted(
            wants, key=lambda want: (-want.oldest_wait_ms, str(want.adapter))
        )
        values = tuple(float(want.oldest_wait_ms) for want in order)
        return _types.LoadPlan(tuple(order), values)


class LeastRecentlyUsed:
    """Evicts the adapter whose last use is longest ago."""

    def value(self, held: _types.HeldAdapter, at_ms: int) -> float:
        return held.used_ms

    def should_evict(self, gain: float, loss: float) -> bool:
        return False


class RandomEviction:
    """Evicts a random adapter, by a hash of its name and the time."""

    def value(self, held: _types.HeldAdapter, at_ms: int) -> float:
        return _rendezvous.score(_rendezvous.digest(str(held.adapter)), at_ms)

    def should_evict(self, gain: float, loss: float) -> bool:
        return False
