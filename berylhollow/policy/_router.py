"""Routing by predicted cost: queues, loads, evictions and batching."""

import collections.abc
import dataclasses
import itertools
import math

from berylhollow import messages
from berylhollow.policy import _types

MIN_CANDIDATES = 2
EXTRA_CANDIDATES = 6
"""Endpoints considered for a load: the minimum, and the extra ones in
proportion to the weight of batch efficiency."""
TOLERATED_QUEUE_MS = 500.0
"""A queue at a holder up to this long never justifies another load."""
SLOT_LIFETIME_S = 20.0
"""Rough time that an adapter stays in a slot: slots / loads per second."""
RELOAD_FACTOR = 2.0
"""Cost of loading an evicted adapter again, in loads."""
QUEUED_LOAD_MS = 100.0
"""Cost of each load that the endpoint is already waiting for."""
NO_SLOT_MS = 1000.0
"""Cost of an endpoint whose slots are all in use."""
FULL_BATCH_MS = 20.0
"""Cost of a full batch; less in proportion for one that is partly full."""
SAMPLE_SIZE = 4
"""Endpoints that are compared for a request without an adapter."""


class PredictedTime:
    """Routes to the endpoint where a request costs least, in milliseconds.

    That is an endpoint that holds the adapter, unless its queue is longer
    than a load elsewhere takes. A load goes to one of the first endpoints of
    the adapter's rendezvous order, so that all gateways send its requests
    there: the one whose eviction costs least and whose batch gains most.
    """

    def choose(
        self, query: _types.RouteQuery, fleet: _types.Fleet
    ) -> str | None:
        if query.adapter is None:
            names = fleet.sample(query.seed, SAMPLE_SIZE)
            return min(names, key=fleet.load_of, default=None)
        return _Choice(query, query.adapter, fleet).endpoint()


@dataclasses.dataclass
class _Choice:
    """The routing decision for one request that needs an adapter."""

    query: _types.RouteQuery
    adapter: messages.AdapterVersion
    fleet: _types.Fleet

    def endpoint(self) -> str | None:
        """Return the chosen endpoint, None if there is none."""
        holders = self.fleet.holders(self.adapter)
        if holders:
            return self.holder_or_replica(holders)
        awaiting = self.fleet.awaiting(self.adapter)
        if awaiting:
            return self.cheapest(awaiting, self.run_cost_ms)
        return self.cheapest(self.candidates([]), self.load_cost_ms)

    def holder_or_replica(self, holders: list[str]) -> str | None:
        """Return the cheapest holder, or a replica if it is ready sooner."""
        queue_ms = min(batch_wait_ms(self.fleet.view(x)) for x in holders)
        best = self.cheapest(holders, self.run_cost_ms)
        if queue_ms <= TOLERATED_QUEUE_MS:
            return best
        pending = [
            name
            for name in self.fleet.awaiting(self.adapter)
            if name not in holders
        ]
        replica = self.cheapest(pending, self.run_cost_ms)
        load_ms = self.fleet.load_wait_ms()
        if replica is not None:
            load_ms /= 2
        else:
            replica = self.cheapest(
                self.candidates(holders), self.load_cost_ms
            )
            load_ms += TOLERATED_QUEUE_MS
        if replica is None:
            return best
        replica_ms = batch_wait_ms(self.fleet.view(replica)) + load_ms
        return replica if replica_ms < queue_ms else best

    def candidates(self, holders: list[str]) -> list[str]:
        """Return endpoints to load at, preferably in other failure domains.

        Those in a failure domain of a holder are left out if others remain.
        """
        share = self.query.weights.batch_share
        count = MIN_CANDIDATES + round(EXTRA_CANDIDATES * share)
        ranked = (
            name
            for name in self.fleet.ranked(self.adapter)
            if name not in holders
        )
        names = list(itertools.islice(ranked, count))
        domains = {self.fleet.view(x).failure_domain for x in holders}
        separate = [
            name
            for name in names
            if self.fleet.view(name).failure_domain not in domains
        ]
        return separate or names

    def cheapest(
        self,
        names: list[str],
        cost: collections.abc.Callable[[_types.EndpointView], float],
    ) -> str | None:
        """Return the first endpoint with the lowest cost, None if none."""
        return min(
            names, key=lambda name: cost(self.fleet.view(name)), default=None
        )

    def run_cost_ms(self, view: _types.EndpointView) -> float:
        """Return the cost of a run: the wait, and its part of the batch.

        A request that is alone in the batch costs the engine its whole run;
        together with others it shares the time of each step.
        """
        share = self.query.weights.batch_share
        alone_ms = view.run_ms / (1 + view.in_flight)
        spread_ms = FULL_BATCH_MS * view.in_flight / max(1, view.capacity)
        batch_ms = share * alone_ms + (1 - share) * spread_ms
        return batch_wait_ms(view) + batch_ms

    def load_cost_ms(self, view: _types.EndpointView) -> float:
        """Return the cost of a run that needs a load and maybe an eviction.

        An eviction costs another load if the victim is requested again during
        the time that it would have stayed in its slot.
        """
        load_stall_share = 1 - self.query.weights.batch_share
        expected = max(0.0, view.victim_value) * SLOT_LIFETIME_S
        reload_probability = 1 - math.exp(-expected)
        victim_ms = (
            RELOAD_FACTOR * self.fleet.load_wait_ms() * reload_probability
        )
        slot_ms = 0.0 if view.evictable else NO_SLOT_MS
        queued_loads_ms = QUEUED_LOAD_MS * view.loads_waiting
        load_ms = load_stall_share * victim_ms + queued_loads_ms + slot_ms
        return self.run_cost_ms(view) + load_ms


def batch_wait_ms(view: _types.EndpointView) -> float:
    """Return how long a request waits for a place in the batch."""
    ahead = view.in_flight + 1 - view.capacity
    return max(0, ahead) / max(1, view.capacity) * view.run_ms
