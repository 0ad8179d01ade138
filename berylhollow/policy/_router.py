"""Choice of an endpoint by predicted time, loads and batches."""

import collections.abc
import dataclasses
import itertools
import math

from berylhollow import messages
from berylhollow.policy import _types

FEWEST_CANDIDATES = 2
MORE_CANDIDATES = 6
"""Endpoints looked at for a load: more as batches weigh more."""
QUEUE_TOLERATED_MS = 500.0
"""A shorter queue at a holder is never worth another load."""
REUSE_HORIZON_S = 20.0
"""How long an adapter stays in a slot, roughly: slots by loads a second."""
VICTIM_FACTOR = 2.0
CROWD_MS = 100.0
"""Cost of each load that an endpoint waits for already."""
NO_SLOT_MS = 1000.0
"""Cost of an endpoint all of whose slots are in use."""
SPREAD_MS = 20.0
SAMPLED = 4
"""Endpoints compared for a request that needs no adapter."""


class PredictedTime:
    """The endpoint where a request costs least, in milliseconds.

    One that holds the adapter, unless its queue is longer than a load takes
    elsewhere. A load goes to one of the first endpoints of the adapter's
    rendezvous order, so that all gateways send its requests there: to the
    one that loses least with a slot, and whose batch gains most.
    """

    def choose(
        self, query: _types.RouteQuery, fleet: _types.Fleet
    ) -> str | None:
        if query.adapter is None:
            names = fleet.sample(query.seed, SAMPLED)
            return min(names, key=fleet.load_of, default=None)
        return _Choice(query, query.adapter, fleet).endpoint()


@dataclasses.dataclass
class _Choice:
    """One decision and what it looks at."""

    query: _types.RouteQuery
    adapter: messages.AdapterVersion
    fleet: _types.Fleet

    def endpoint(self) -> str | None:
        holders = self.fleet.holders(self.adapter)
        if holders:
            return self.holder_or_replica(holders)
        awaiting = self.fleet.awaiting(self.adapter)
        if awaiting:
            return self.cheapest(awaiting, self.run_cost_ms)
        return self.cheapest(self.candidates([]), self.load_cost_ms)

    def holder_or_replica(self, holders: list[str]) -> str | None:
        """Queue at a holder, or load elsewhere if that is sooner."""
        queue_ms = min(queue_ms_of(self.fleet.view(x)) for x in holders)
        best = self.cheapest(holders, self.run_cost_ms)
        if queue_ms <= QUEUE_TOLERATED_MS:
            return best
        coming = [
            name
            for name in self.fleet.awaiting(self.adapter)
            if name not in holders
        ]
        replica = self.cheapest(coming, self.run_cost_ms)
        load_ms = self.fleet.load_wait_ms()
        if replica is not None:
            load_ms /= 2
        else:
            replica = self.cheapest(
                self.candidates(holders), self.load_cost_ms
            )
            load_ms += QUEUE_TOLERATED_MS
        if replica is None:
            return best
        sooner_ms = queue_ms_of(self.fleet.view(replica)) + load_ms
        return replica if sooner_ms < queue_ms else best

    def candidates(self, holders: list[str]) -> list[str]:
        """Return where to load, other failure domains than holders' first."""
        share = self.query.weights.batch_share
        count = FEWEST_CANDIDATES + round(MORE_CANDIDATES * share)
        ranked = (
            name
            for name in self.fleet.ranked(self.adapter)
            if name not in holders
        )
        names = list(itertools.islice(ranked, count))
        domains = {self.fleet.view(x).failure_domain for x in holders}
        apart = [
            name
            for name in names
            if self.fleet.view(name).failure_domain not in domains
        ]
        return apart or names

    def cheapest(
        self,
        names: list[str],
        cost: collections.abc.Callable[[_types.EndpointView], float],
    ) -> str | None:
        """Return the first of the cheapest endpoints, None of none."""
        return min(
            names, key=lambda name: cost(self.fleet.view(name)), default=None
        )

    def run_cost_ms(self, view: _types.EndpointView) -> float:
        """Return the cost of a run: its queue, and its part of a batch.

        A request alone in a batch costs the engine its whole run; in company
        it shares the time of each step.
        """
        share = self.query.weights.batch_share
        alone_ms = view.run_ms / (1 + view.in_flight)
        spread_ms = SPREAD_MS * view.in_flight / max(1, view.capacity)
        batch_ms = share * alone_ms + (1 - share) * spread_ms
        return queue_ms_of(view) + batch_ms

    def load_cost_ms(self, view: _types.EndpointView) -> float:
        """Return the cost of a run that needs a load, with what it evicts.

        Evicting costs a load again if the victim is asked for while it would
        have stayed in its slot.
        """
        stall_share = 1 - self.query.weights.batch_share
        expected = max(0.0, view.victim_value) * REUSE_HORIZON_S
        again = 1 - math.exp(-expected)
        victim_ms = VICTIM_FACTOR * self.fleet.load_wait_ms() * again
        slot_ms = 0.0 if view.evictable else NO_SLOT_MS
        crowd_ms = CROWD_MS * view.loads_waiting
        load_ms = stall_share * victim_ms + crowd_ms + slot_ms
        return self.run_cost_ms(view) + load_ms


def queue_ms_of(view: _types.EndpointView) -> float:
    """Return how long a request waits for a place in the batch."""
    ahead = view.in_flight + 1 - view.capacity
    return max(0, ahead) / max(1, view.capacity) * view.run_ms
