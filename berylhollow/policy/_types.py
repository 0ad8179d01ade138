"""Protocols of the parts of a policy, and the data that they work on."""

import collections.abc
import dataclasses
import typing

from berylhollow import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """Weights of two goals of a service, as declared in its manifest.

    ``load_stall`` is the cost of a second of waiting for a load,
    ``batch_efficiency`` the cost of a second of unused batch capacity.
    """

    load_stall: float = 1.0
    batch_efficiency: float = 1.0

    @property
    def batch_share(self) -> float:
        """The share of batch efficiency in the sum of weights, 0 to 1."""
        total = self.load_stall + self.batch_efficiency
        return self.batch_efficiency / total if total else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RouteQuery:
    """A request to be routed.

    ``remaining_ms`` is the time left until its deadline, ``seed`` a new
    random number in [0, 1).
    """

    adapter: messages.AdapterVersion | None
    caller: str
    priority: int
    remaining_ms: int
    output_tokens: int
    weights: Weights
    seed: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointView:
    """What a gateway knows of an endpoint; it may be out of date.

    ``in_flight`` is the number of requests at the endpoint, ``capacity`` the
    number that run at once, ``run_ms`` the duration of a run and
    ``loads_waiting`` the number of adapters that it waits to load.
    ``evictable`` is False if every slot is in use; ``victim_value`` is the
    value of the adapter in its least valuable slot. ``backlog_ms`` is the
    time to work off the requests sent there that have not begun, ``read_ms``
    the time to read the request's own prompt there, 0 if no endpoint of the
    service reports its pace. ``read_share`` is the share of the last seconds,
    from 0 to 1, in which the endpoint was reading prompts.
    """

    name: str
    failure_domain: str
    capacity: int
    in_flight: int
    run_ms: float
    loads_waiting: int
    evictable: bool
    victim_value: float
    backlog_ms: float = 0.0
    read_ms: float = 0.0
    read_share: float = 0.0


class Fleet(typing.Protocol):
    """The endpoints that a request may be offered to.

    Of its methods only ``names`` scans all endpoints.
    """

    def names(self) -> collections.abc.Sequence[str]:
        """Return every endpoint that may be chosen, in a fixed order."""

    def holders(self, adapter: messages.AdapterVersion) -> list[str]:
        """Return endpoints that hold an adapter and are ready to run it."""

    def awaiting(self, adapter: messages.AdapterVersion) -> list[str]:
        """Return endpoints where a load is running or requests wait for it."""

    def ranked(
        self, adapter: messages.AdapterVersion
    ) -> collections.abc.Iterator[str]:
        """Yield the endpoints in the rendezvous order of an adapter."""

    def has_held_recently(
        self, name: str, adapter: messages.AdapterVersion
    ) -> bool:
        """Tell whether an endpoint held an adapter recently."""

    def view(self, name: str) -> EndpointView:
        """Return what is known of one endpoint."""

    def sample(self, seed: float, count: int) -> list[str]:
        """Return up to ``count`` evenly spread endpoints, chosen by a seed."""

    def load_of(self, name: str) -> tuple[float, str]:
        """Return an endpoint's load per unit of capacity, and its name."""

    def least_loaded(self) -> str | None:
        """Return the endpoint with the least load per unit of capacity."""

    def load_wait_ms(self) -> float:
        """Return how long a load that is ordered now takes to finish."""


class Router(typing.Protocol):
    """Chooses the endpoint for an attempt of a request."""

    def choose(self, query: RouteQuery, fleet: Fleet) -> str | None:
        """Return the endpoint to offer a request to, None if none can."""


class DemandEstimate(typing.Protocol):
    """Estimates the request rate of each adapter."""

    def record_request(
        self, adapter: messages.AdapterVersion, at_ms: int
    ) -> None:
        """Count one request for the adapter."""

    def rate(self, adapter: messages.AdapterVersion, at_ms: int) -> float:
        """Return the expected requests per second for the adapter."""


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitedAdapter:
    """An adapter that requests wait for.

    ``slacks_ms`` holds, in ascending order, how much the load may be delayed
    for each waiting request that would be on time if it began now.
    ``priority`` is the highest one of the waiting requests,
    ``adapter_priority`` that of the adapter itself, ``rate`` the expected
    demand in requests per second.
    """

    adapter: messages.AdapterVersion
    waiting: int
    slacks_ms: tuple[int, ...]
    oldest_wait_ms: int
    priority: int
    adapter_priority: int
    rate: float

    @property
    def timely_count(self) -> int:
        """The number of requests on time if the load began now."""
        return len(self.slacks_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class LateLoad:
    """An adapter whose load begins too late for some requests.

    Those that can't wait ``wait_ms`` for it are given up.
    """

    adapter: messages.AdapterVersion
    wait_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """The order of loads, and the adapters whose load would be too late.

    ``values`` has the value of each load in ``order``; values are comparable
    between endpoints.
    """

    order: tuple[AwaitedAdapter, ...] = ()
    values: tuple[float, ...] = ()
    late_loads: tuple[LateLoad, ...] = ()


class LoadOrder(typing.Protocol):
    """Decides in which order adapters are loaded."""

    def plan(
        self,
        wants: collections.abc.Sequence[AwaitedAdapter],
        interval_ms: float,
        weights: Weights,
    ) -> LoadPlan:
        """Return the order of loads; one begins per interval."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldAdapter:
    """An adapter in a slot that may be evicted.

    ``rate`` is its expected demand in requests per second, ``runs`` the
    number of requests that it has served since it was loaded.
    """

    adapter: messages.AdapterVersion
    loaded_ms: int
    used_ms: int
    runs: int
    rate: float
    priority: int


class Eviction(typing.Protocol):
    """Decides which adapter is evicted from its slot."""

    def value(self, held: HeldAdapter, at_ms: int) -> float:
        """Return the value of keeping it; the lowest is evicted first."""

    def should_evict(self, gain: float, loss: float) -> bool:
        """Tell whether a load of value ``gain`` may evict one of ``loss``.

        Only for loads that no request waits for.
        """
