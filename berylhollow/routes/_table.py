"""One published version of the routes, as immutable data."""

import dataclasses
import enum
import math

from berylhollow import workspaces


ROUNDING = 1e-9
"""Added to a quotient of decimal fractions, which may be just below a whole
number."""


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
class Model:
    """A model that engines can load; sizes in MB, 0 if they aren't stated.

    ``adapters`` is the declared number of its adapters, ``adapter_mb`` the
    size of each.
    """

    name: str
    adapters: int
    weights_mb: float = 0.0
    adapter_mb: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Capacity of the model engines of a service.

    ``adapter_slots`` is how many adapters an engine holds at once at most and
    ``batch`` how many requests it runs at once. ``tokens_per_event`` is how
    many generated tokens one event of a stream holds; an engine generates one
    token a step. ``memory_mb`` is for the weights of models and adapters
    together, 0 if it isn't stated.
    """

    batch: int
    adapter_slots: int
    models: tuple[Model, ...]
    tokens_per_event: int = 1
    memory_mb: float = 0.0

    def adapter_room(self, held_models: tuple[str, ...]) -> int:
        """Return how many adapters fit beside the weights of some models.

        All adapters are taken to be as large as those of the model with the
        largest ones.
        """
        held = [model for model in self.models if model.name in held_models]
        adapter_mb = max((model.adapter_mb for model in held), default=0.0)
        if not self.memory_mb or not adapter_mb:
            return self.adapter_slots
        left_mb = self.memory_mb - sum(model.weights_mb for model in held)
        fit = math.floor(left_mb / adapter_mb + ROUNDING)
        return max(0, min(self.adapter_slots, fit))


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service; ``engine`` is None for a plain one.

    ``connections`` is the maximum number of connections that an endpoint
    accepts from all its callers together. ``check_path`` is where endpoints
    answer health checks, empty if it isn't declared.
    """

    name: str
    connections: int
    engine: Engine | None = None
    check_path: str = ''


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
