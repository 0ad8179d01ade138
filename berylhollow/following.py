"""Interface between the reducers and what follows the configuration."""

import collections.abc
import dataclasses
import typing

from berylhollow import clock
from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow import workspaces


DEFAULT_CHECK_PATH = '/healthz'
"""Where health checks are sent if a configuration names no path. Any answer
shows that an endpoint lives."""

DEFAULT_HEADER_BYTES = 8190
"""Longest header line of a request where the configuration doesn't say."""


class Service(typing.Protocol):
    """Weights declared for a service."""

    load_stall_weight: float
    batch_efficiency_weight: float


class Adapter(typing.Protocol):
    """Priority declared for an adapter."""

    priority: int


class Limits(typing.Protocol):
    """Limits of a caller over all gateways; None is no limit."""

    in_flight: int | None
    rate_per_s: float | None


class Caller(typing.Protocol):
    """Weight and limits declared for a caller."""

    weight: float
    limits: Limits


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """How the configuration says a request is to be served.

    ``deadline_ms`` counts from the head of a request. ``most_runs`` limits the
    endpoints that may run the request; if it is None, the gateway's options
    do. ``objective_ms`` is the time within which the answer should begin, 0
    for none. ``workspace`` is the one that the request's key belongs to, None
    without a key. ``services`` are all that may serve the request and
    ``timeout_ms`` is the longest time for which one may, 0 if unlimited. With
    ``resumable`` a caller may take its stream up again; ``is_stream`` is also
    set for streams that may not be.
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
    services: tuple[str, ...] = ()
    timeout_ms: int = 0
    is_stream: bool = False
    resumable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionTerms:
    """How prompts of a service are admitted at its endpoints.

    ``event_gap_ms`` is the longest gap between two events of an answer that
    every route of the service allows, ``event_steps`` is how many steps of the
    engine an event takes.
    """

    event_gap_ms: int
    event_steps: int


class View(typing.Protocol):
    """One accepted revision of the configuration, immutable.

    If ``has_workspaces`` is set, callers need the key of a workspace.
    ``header_bytes`` is the longest header line that they may send.
    """

    revision: int
    header_bytes: int
    has_workspaces: bool
    declared_workspaces: tuple[workspaces.Workspace, ...]

    def workspace(
        self, head: events.RequestHead
    ) -> workspaces.Workspace | errors.Kind | None:
        """Return the workspace of a request, None, or why it is refused."""

    def admission(self, service: str) -> AdmissionTerms | None:
        """Return how a service's prompts are admitted, None if they aren't."""

    def resolve(
        self, request: events.Request, seed: float
    ) -> Terms | errors.Kind:
        """Return how to serve a request, or why it can't be served.

        ``seed`` in [0, 1) selects among the services that share the request.
        """

    def request_error(
        self, service: str, adapter: messages.AdapterVersion | None
    ) -> errors.Kind | None:
        """Return why an admitted request may not run, None if it may."""

    def candidate_versions(
        self, adapter: messages.AdapterVersion
    ) -> tuple[messages.AdapterVersion, ...]:
        """Return the versions that might serve an adapter, best first."""

    def superseded_ms(
        self, adapter: messages.AdapterVersion, at_ms: int
    ) -> int | None:
        """Return how long a newer version of an adapter has been known.

        None if none is known, or if requests name the version that they want.
        """

    def adapter_slots(self, service: str) -> int:
        """Return how many adapters an endpoint of a service can hold.

        0 for a plain service, or if the endpoint reports the number itself.
        """

    def adapter_room(self, service: str, models: tuple[str, ...]) -> int:
        """Return how many adapters an endpoint with these models can hold.

        Both its slots and its memory bound them; 0 for a plain service.
        """

    def can_hold(self, service: str, adapter: messages.AdapterVersion) -> bool:
        """Tell whether an adapter fits beside its model at an endpoint."""

    def check_path(self, service: str) -> str:
        """Return where endpoints of a service answer health checks."""

    def models(self, service: str) -> tuple[str, ...]:
        """Return the models that endpoints of a service should hold."""

    def service(self, name: str) -> Service | None:
        """Return a declared service, None if there is none."""

    def adapter(self, name: str) -> Adapter | None:
        """Return a declared adapter, None if there is none."""

    def caller(self, name: str) -> Caller:
        """Return a caller, with the defaults if it is not declared."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerStatus:
    """Revision that a linked gateway reported, and how long ago."""

    instance: str
    revision: int
    told_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """How far a process has followed the configuration, for operators.

    ``age_ms`` is the time since the log was last known to hold no further
    records, -1 if it never was. ``stopped`` is the reason why the next record
    can't be judged, '' if it can. ``gap`` says that records are gone that no
    snapshot contains.
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
    """Follows the configuration in the log and from peers."""

    current: View | None

    def start(self, at_ms: int) -> list[effects.Effect]:
        """Return the effects that begin to read."""

    def handle(self, event: events.Event) -> list[effects.Effect]:
        """Apply an event that concerns the configuration; ignore others."""

    def tick(
        self,
        at_ms: int,
        live_gateways: list[str],
        peers: list[str],
        self_id: str,
    ) -> list[effects.Effect]:
        """Request missing records and send peers those that they miss."""

    def status(self, at_ms: int) -> Status:
        """Return how far the configuration was followed, for operators."""

    def are_keys_proven(self, at_ms: int) -> bool:
        """Tell whether the keys are proven recently enough to be used."""

    def keys_age_ms(self, at_ms: int) -> int:
        """Return the age of the newest proof of the keys."""

    def newest_record(self) -> bytes:
        """Return the record of the configuration in force, b'' if not kept."""

    def apply_record(self, data: bytes, at_ms: int) -> list[effects.Effect]:
        """Apply a newer record that another process has read."""

    def was_read_since(self, since_ms: int) -> bool:
        """Tell whether a read that began since then saw the whole log."""

    def check_log(self, at_ms: int) -> list[effects.Effect]:
        """Begin a read of the log, unless one of these is under way."""


class UnsharedRecords:
    """The methods of a follower whose records are not kept elsewhere."""

    def newest_record(self) -> bytes:
        return b''

    def apply_record(self, data: bytes, at_ms: int) -> list[effects.Effect]:
        return []

    def was_read_since(self, since_ms: int) -> bool:
        return False

    def check_log(self, at_ms: int) -> list[effects.Effect]:
        return []


class NullFollower(UnsharedRecords):
    """A follower for a process without configuration."""

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

    def are_keys_proven(self, at_ms: int) -> bool:
        return True

    def keys_age_ms(self, at_ms: int) -> int:
        return 0


class Meters(typing.Protocol):
    """Receiver of the values of metrics."""

    def observe(
        self, name: str, read: collections.abc.Callable[[], float]
    ) -> None:
        """Register ``read`` as the source of a metric's value."""


def observe(follower: Follower, time: clock.Clock, meters: Meters) -> None:
    """Register metrics of the follower's revision and ages."""
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


def log_new_revision(
    served_revision: int,
    view: View | None,
    *fields: tuple[str, object],
) -> list[effects.Effect]:
    """Return the log line for a revision that has newly come into force.

    ``served_revision`` is the revision that was in force before, 0 for none.
    """
    if view is None or view.revision == served_revision:
        return []
    fields = (('revision', view.revision), *fields)
    return [effects.Log('configuration in force', fields)]
