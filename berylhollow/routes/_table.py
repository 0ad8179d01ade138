"""One published version of the routes, as immutable data."""

import dataclasses
import enum

from berylhollow import workspaces


class Repeat(enum.Enum):
    """How often a request of a route may run.

    STREAM answers are a series of events; such a request runs at most once
    unless its route says that it may be resumed.
    """

    ANY_NUMBER = 'any_number'
    ONCE = 'once'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service and its weight among those that share a route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host below one path prefix.

    ``timeout_ms`` is the longest that a request may be kept waiting,
    ``objective_ms`` by when it should be answered (a stream: begin to be).
    ``priority`` 0 is the most urgent. ``most_runs`` bounds the endpoints that
    one request may be given to. ``public`` requests need no key.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    timeout_ms: int
    objective_ms: int
    priority: int
    shares: tuple[Share, ...]
    most_runs: int
    resumable: bool = False
    event_gap_ms: int = 0
    public: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """What the model engines of a service can hold.

    ``adapter_slots`` is how many adapters one holds at once, ``batch`` how
    many requests it runs at once, ``adapters`` the declared number of
    adapters by model.
    """

    batch: int
    adapter_slots: int
    adapters: tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service; ``engine`` is None for a plain one.

    ``connections`` is how many an endpoint takes from all its callers.
    """

    name: str
    connections: int
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bounds on what a caller may send, and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """Everything that one version declares.

    Without ``workspaces`` callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: RequestLimits
    workspaces: tuple[workspaces.Workspace, ...]
