"""Routing to endpoints that queue requests themselves and reload quickly.

An endpoint that has held an adapter recently reloads it ten times as fast as
from the weight store, and without the price of a fetch. What waits at such
an endpoint is prompts to be prefilled, so its backlog is counted in prompt
tokens. Every cost below is in milliseconds of waiting.
"""

import collections.abc

from berylhollow.policy import _types

FETCH_MS = 800.0
"""Cost of a load from the weight store.

The load itself takes 250 ms, but each one is paid for and takes a slot from
an adapter that has it. With 400, requests left endpoints that held a copy as
soon as two long prompts waited there. With 1500, one request in a hundred
more was late in a burst over sixty endpoints with slots to spare (test_size).
"""

RELOAD_MS = 30.0
"""Cost of a load where the adapter was held recently."""

BUSY_SLOTS_MS = 250.0
"""Cost of an endpoint whose slots are all in use.

With six slots and runs of 1.2 s, one becomes free within about 200 ms. A
request that stays with its usual endpoint finds the adapter recently held
there; one that goes elsewhere needs a fetch.
"""

QUEUED_LOAD_MS = 60.0
"""Cost of each load that the endpoint is already waiting for."""

RANK_STEP_MS = 25.0
"""Cost of each rank in the adapter's rendezvous order, so that all gateways
load a cold adapter at the same endpoint."""

REPLICA_MS = 400.0
"""How much shorter the backlog elsewhere must be to justify another copy.

Another slot for one adapter is one less for the others. A request that waits
longer than this, and then 100 to 350 ms for its own prompt, comes close to
the second within which callers expect the first token. With 1500, a popular
adapter kept its only holder until one caller in six was late (test_size).
"""

PENDING_COPY_MS = 400.0
"""Cost of a copy that is not loaded yet: the load, and the wait for it."""

IN_FLIGHT_MS = 3.0
"""Cost of each request in flight; breaks ties between idle endpoints."""

MAX_READ_SHARE = 0.9
"""Highest share of reading that counts. Closer to 1 the expected wait grows
without limit, while the share is measured over two seconds only."""

MAX_CANDIDATES = 16
"""Endpoints that are considered for a load."""

SAMPLE_SIZE = 8
"""Endpoints that are compared for a request without an adapter."""


class QuickReload:
    """Routes to the endpoint that is expected to answer soonest."""

    def choose(
        self, query: _types.RouteQuery, fleet: _types.Fleet
    ) -> str | None:
        if query.adapter is None:
            names = fleet.sample(query.seed, SAMPLE_SIZE)
            return _cheapest(names, lambda name: wait_ms(fleet.view(name)))
        return _choose(query, fleet)


def _choose(query: _types.RouteQuery, fleet: _types.Fleet) -> str | None:
    """Return a holder, or an endpoint to load at if that is much sooner."""
    adapter = query.adapter
    holders = fleet.holders(adapter)
    best = _cheapest(holders, lambda name: wait_ms(fleet.view(name)))
    best_ms = 0.0
    if best is not None:
        view = fleet.view(best)
        best_ms = known_wait_ms(view)
        # The time to read the own prompt is spent at any other endpoint too.
        if best_ms - view.read_ms < REPLICA_MS:
            return best
    pending = [x for x in fleet.awaiting(adapter) if x not in holders]
    loading = _cheapest(pending, lambda name: wait_ms(fleet.view(name)))
    if best is None:
        return loading or _cheapest_load(query, fleet, [])
    other = loading or _cheapest_load(query, fleet, holders)
    if other is None:
        return best
    view = fleet.view(other)
    # Without ``busy_ms``: it changes with each report, and a copy stays.
    other_ms = known_wait_ms(view)
    other_ms += PENDING_COPY_MS if loading else REPLICA_MS
    if not view.evictable:
        other_ms += BUSY_SLOTS_MS
    return other if other_ms < best_ms else best


def _cheapest_load(
    query: _types.RouteQuery, fleet: _types.Fleet, holders: list[str]
) -> str | None:
    """Return the endpoint to load at, among the first of the order."""
    costs = {}
    for rank, name in enumerate(fleet.ranked(query.adapter)):
        if rank >= MAX_CANDIDATES:
            break
        if name not in holders:
            costs[name] = rank * RANK_STEP_MS + load_ms(query, fleet, name)
    return _cheapest(costs, costs.__getitem__)


def wait_ms(view: _types.EndpointView) -> float:
    """Return the expected time until the endpoint has read the prompt."""
    known_ms = known_wait_ms(view)
    return known_ms + busy_ms(view) if view.read_ms else known_ms


def known_wait_ms(view: _types.EndpointView) -> float:
    """Return how long the endpoint takes for what is known to wait there.

    Includes the request's own prompt, if the time to read it is known.
    """
    backlog_ms = view.backlog_ms + IN_FLIGHT_MS * view.in_flight
    return backlog_ms + view.read_ms


def busy_ms(view: _types.EndpointView) -> float:
    """Return the wait to expect for prompts that the backlog doesn't show.

    It is the mean wait of a queue whose server is busy for ``read_share`` of
    the time. All gateways hear of a backlog up to a second late and would
    send to the same endpoint if only that counted.
    """
    share = min(view.read_share, MAX_READ_SHARE)
    return view.read_ms * share / (1 - share)


def load_ms(query: _types.RouteQuery, fleet: _types.Fleet, name: str) -> float:
    """Return how long a request waits that needs a load first."""
    view = fleet.view(name)
    is_reload = fleet.has_held_recently(name, query.adapter)
    cost_ms = RELOAD_MS if is_reload else FETCH_MS
    if not view.evictable:
        cost_ms += BUSY_SLOTS_MS
    return wait_ms(view) + cost_ms + QUEUED_LOAD_MS * view.loads_waiting


def _cheapest(
    names: collections.abc.Iterable[str],
    cost: collections.abc.Callable[[str], float],
) -> str | None:
    return min(names, key=cost, default=None)
