"""Data classes of a manifest's content, and its errors."""

import collections.abc
import dataclasses
import enum

from berylhollow.util import exits


class ServiceKind(enum.StrEnum):
    """The kind of endpoints that a service has."""

    ENGINE = 'engine'
    PLAIN = 'plain'


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Admission limits of a caller or a service; None means no limit.

    ``in_flight`` is the maximum of concurrent requests, ``rate_per_s`` the
    maximum average rate of requests.
    """

    in_flight: int | None = None
    rate_per_s: float | None = None


NO_LIMITS = Limits()


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and the properties of its endpoints.

    ``checks_fencing`` is true if the endpoints reject orders with an outdated
    fencing token. ``load_stall_weight`` is the cost of a second of waiting
    for a load, relative to ``batch_efficiency_weight``, the cost of a second
    of unused batch capacity. ``base_model`` is empty for a plain service.
    """

    name: str
    kind: ServiceKind = ServiceKind.ENGINE
    base_model: str = ''
    checks_fencing: bool = False
    load_stall_weight: float = 1.0
    batch_efficiency_weight: float = 1.0
    limits: Limits = NO_LIMITS


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """A version of an adapter; only servable versions are run."""

    version: str
    servable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Adapter:
    """An adapter, the engine service that runs it and its versions.

    Adapters with a higher ``priority`` are loaded first.
    """

    name: str
    service: str
    priority: int = 0
    versions: tuple[Version, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """A caller, its weight in sharing scarce capacity, and its limits."""

    name: str
    weight: float = 1.0
    limits: Limits = NO_LIMITS


Entity = Service | Adapter | Caller


@dataclasses.dataclass(frozen=True, slots=True)
class Manifest:
    """All declared entities; callers that are not listed may still call."""

    services: tuple[Service, ...] = ()
    adapters: tuple[Adapter, ...] = ()
    callers: tuple[Caller, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """An error at a path or a line of the manifest."""

    place: str
    message: str

    def __str__(self) -> str:
        return f'{self.place}: {self.message}'


class ManifestError(exits.UserError):
    """An invalid manifest; ``faults`` lists every fault."""

    def __init__(self, faults: collections.abc.Sequence[Fault]):
        self.faults = tuple(faults)
        listed = '\n'.join(f'  {fault}' for fault in self.faults)
        super().__init__(
            f'invalid manifest, {len(self.faults)} faults:\n{listed}',
            exits.ExitCode.INVALID,
        )
