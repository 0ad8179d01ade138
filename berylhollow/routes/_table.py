"""One published version of the routes, as immutable data."""

import dataclasses
import enum

from berylhollow import workspaces


class RepeatPolicy(enum.Enum):
    """How often a request of a route may run.

    The response to a STREAM request is a series of events. Such a request
    runs at most once unless its route allows it to be resumed.
    """

    ANY_NUMBER = 'any_number'
    ONCE = 'once'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service of a route and its weight in the traffic split."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Settings of the requests to one host under one path prefix.

    - ``timeout_ms``: longest time that a caller may wait for the response.
    - ``objective_ms``: target time to the response, for a stream to its
      beginning.
    - ``priority``: 0 is the most urgent.
    - ``most_runs``: maximum number of endpoints that one request is sent to.
    - ``event_gap_ms``: longest gap between two events of a stream with which
      its answer is still on time, 0 for none.
    - ``public``: requests need no key.
    """

    name: str
    host: str
    prefix: str
    repeat: RepeatPolicy
    timeout_ms: int
    objective_ms: int
    priority: int
    shares: tuple[ServiceShare, ...]
    most_runs: int
    resumable: bool = False
    event_gap_ms: int = 0
    public: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Capacity of the model engines of a service.

    ``adapter_slots`` is how many adapters an engine holds at once, ``batch``
    how many requests it runs at once and ``adapters`` the declared number of
    adapters of each model. ``tokens_per_event`` is how many generated tokens
    one event of a stream holds; an engine generates one token a step.
    """

    batch: int
    adapter_slots: int
    adapters: tuple[tuple[str, int], ...]
    tokens_per_event: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service; ``engine`` is None for a plain one.

    ``connections`` is the maximum number of connections that an endpoint
    accepts from all its callers together.
    """

    name: str
    connections: int
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on the size of a request and the time to receive it."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the routes, with services, limits and workspaces.

    Without ``workspaces`` callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: RequestLimits
    workspaces: tuple[workspaces.Workspace, ...]
