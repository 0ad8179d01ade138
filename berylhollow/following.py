"""What the reducers need of the configuration, whoever follows it."""

import collections.abc
import dataclasses
import typing

from berylhollow import clock
from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow import workspaces


class Service(typing.Protocol):
    """What is declared of a service."""

    load_stall_weight: float
    batch_efficiency_weight: float


class Adapter(typing.Protocol):
    """What is declared of an adapter."""

    priority: int


class Limits(typing.Protocol):
    """What is admitted of a caller at all gateways; None is no limit."""

    in_flight: int | None
    rate_per_s: float | None


class Caller(typing.Protocol):
    """What is declared of a caller."""

    weight: float
    limits: Limits


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """How a request is to be served, as the configuration has it.

    ``deadline_ms`` is a duration from arrival. ``most_runs`` bounds the
    endpoints that may run the request, None leaves it to the options.
    ``objective_ms`` is by when its answer should begin, 0 if none is set.
    ``workspace`` is the one that its key belongs to, None without one.
    """

    service: str
    adapter: messages.AdapterVersion | None
    deadline_ms: int
    priority: int
    most_runs: int | None = None
    repeatable: bool = True
    objective_ms: int = 0
    route: str = ''
    workspace: workspaces.Workspace | None = None


class View(typing.Protocol):
    """One accepted revision of the configuration; it never changes.

    With ``has_workspaces`` callers need the key of one.
    """

    revision: int
    has_workspaces: bool
    declared_workspaces: tuple[workspaces.Workspace, ...]

    def workspace(
        self, head: events.RequestHead
    ) -> workspaces.Workspace | errors.Kind | None:
        """Return whose request it is, None if nobody's, or why it fails."""

    def resolve(
        self, request: events.Request, seed: float
    ) -> Terms | errors.Kind:
        """Return how to serve a request, or why it can't be served.

        ``seed`` in [0, 1) chooses among services that share the request.
        """

    def acceptable(
        self, adapter: messages.AdapterVersion, at_ms: int
    ) -> tuple[messages.AdapterVersion, ...]:
        """Return the versions that may serve an adapter, best first."""

    def adapter_slots(self, service: str) -> int:
        """Return how many adapters an endpoint of a service can hold.

        0 for a plain service, or where the endpoint itself tells.
        """

    def models(self, service: str) -> tuple[str, ...]:
        """Return the models that endpoints of a service are to hold."""

    def service(self, name: str) -> Service | None:
        """Return a declared service, None if there is none."""

    def adapter(self, name: str) -> Adapter | None:
        """Return a declared adapter, None if there is none."""

    def caller(self, name: str) -> Caller:
        """Return a caller; one that is not declared has the defaults."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerStatus:
    """What a linked gateway told, and how long ago."""

    instance: str
    revision: int
    told_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """How far a process follows, for operators.

    ``age_ms`` is how long ago the log is known to have held no more, -1 if
    that was never known; ``stopped`` is why the next record can't be
    judged, if so; ``gap`` when records are gone that no snapshot holds.
    """

    revision: int = 0
    next_offset: int = 0
    digest: str = ''
    age_ms: int = -1
    reads_log: bool = False
    stopped: str = ''
    gap: bool = False
    gateways: tuple[PeerStatus, ...] = ()


class Follower(typing.Protocol):
    """Follows the configuration on the log and from peers."""

    current: View | None

    def start(self, at_ms: int) -> list[effects.Effect]:
        """Begin to read."""

    def handle(self, event: events.Event) -> list[effects.Effect]:
        """Take in what concerns the configuration; ignore the rest."""

    def tick(
        self,
        at_ms: int,
        live_gateways: list[str],
        peers: list[str],
        self_id: str,
    ) -> list[effects.Effect]:
        """Ask for what is missing and pass on what others miss."""

    def status(self, at_ms: int) -> Status:
        """Return how far we are, for operators."""

    def keys_hold(self, at_ms: int) -> bool:
        """Tell whether keys are known well enough to use them."""

    def keys_age_ms(self, at_ms: int) -> int:
        """Return how old the newest proof of the keys is."""


class NothingToFollow:
    """A follower for a process that needs no configuration."""

    current: View | None = None

    def start(self, at_ms: int) -> list[effects.Effect]:
        return []

    def handle(self, event: events.Event) -> list[effects.Effect]:
        return []

    def tick(
        self,
        at_ms: int,
        live_gateways: list[str],
        peers: list[str],
        self_id: str,
    ) -> list[effects.Effect]:
        return []

    def status(self, at_ms: int) -> Status:
        return Status()

    def keys_hold(self, at_ms: int) -> bool:
        return True

    def keys_age_ms(self, at_ms: int) -> int:
        return 0


class Meters(typing.Protocol):
    """What takes the values of metrics."""

    def observe(
        self, name: str, read: collections.abc.Callable[[], float]
    ) -> None:
        """Call ``read`` for the value of a metric."""


def observe(follower: Follower, time: clock.Clock, meters: Meters) -> None:
    """Show in the metrics how far a follower is."""
    meters.observe(
        'berylhollow.revision',
        lambda: follower.status(time.now_ms()).revision,
    )
    meters.observe(
        'berylhollow.configuration.age',
        lambda: follower.status(time.now_ms()).age_ms,
    )
    meters.observe(
        'berylhollow.keys.age',
        lambda: follower.keys_age_ms(time.now_ms()),
    )


def announce(served: int, view: View | None) -> list[effects.Effect]:
    """Return the log line of a revision that has newly come into force.

    ``served`` is the revision that was served before, 0 for none.
    """
    if view is None or view.revision == served:
        return []
    fields = (('revision', view.revision),)
    return [effects.Log('configuration in force', fields)]
