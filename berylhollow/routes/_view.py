"""Look up the route and the terms of a request in the published routes."""

import collections
import dataclasses

from berylhollow import errors
from berylhollow import events
from berylhollow import following
from berylhollow import messages
from berylhollow.routes import _table
from berylhollow import workspaces

ADAPTER_SEPARATOR = '/'
"""Separates model and adapter in the name that a request gives."""

FIRST_VERSION = '1'
"""Version of an adapter for which no newer one was published."""

PACED_STEP_MS = 100
"""Longest allowed gap per engine step for which prompts are admitted.

A step that reads a chunk of prompts takes 50 to 110 ms at the users' engines.
Where the gap allows more than that for each step of an event, prompts that
follow each other can't exceed it.
"""

MAX_SUPERSEDED_VERSIONS = 8
"""Superseded versions of an adapter whose times are kept apart."""


@dataclasses.dataclass(frozen=True, slots=True)
class SupersededVersion:
    """A version, and since when a newer one has been known."""

    version: str
    since_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class NewestVersion:
    """The newest version of an adapter and the version that it replaces.

    ``named_ms`` is the earliest time at which it may have been named.
    ``earlier`` has the versions before ``previous``, oldest first.
    """

    version: str
    named_ms: int
    previous: str
    earlier: tuple[SupersededVersion, ...] = ()

    def replaced_by(self, version: str, named_ms: int) -> 'NewestVersion':
        """Return what is known once a newer version was named.

        It was not named before the version that it replaces. The two oldest
        of too many versions are joined and keep the earlier time, so that none
        counts as superseded for too short a time.
        """
        named_ms = max(named_ms, self.named_ms)
        earlier = self.superseded
        if len(earlier) > MAX_SUPERSEDED_VERSIONS:
            oldest, second, *others = earlier
            joined = SupersededVersion(second.version, oldest.since_ms)
            earlier = (joined, *others)
        return NewestVersion(version, named_ms, self.version, earlier)

    @property
    def superseded(self) -> tuple[SupersededVersion, ...]:
        """All superseded versions, oldest first."""
        return (
            *self.earlier,
            SupersededVersion(self.previous, self.named_ms),
        )

    def superseded_since_ms(self, version: str) -> int | None:
        """Return since when a newer version is known, None if it is newest."""
        for known in self.superseded:
            if int(version) <= int(known.version):
                return known.since_ms
        return self.named_ms if int(version) < int(self.version) else None


@dataclasses.dataclass(frozen=True)
class DeclaredService:
    """Policy weights of a service: defaults, as routes declare none."""

    load_stall_weight: float = 1.0
    batch_efficiency_weight: float = 1.0


@dataclasses.dataclass(frozen=True)
class DeclaredLimits:
    """Limits of a caller: none, as routes declare no limits."""

    in_flight: int | None = None
    rate_per_s: float | None = None


@dataclasses.dataclass(frozen=True)
class DeclaredCaller:
    """A caller with the default weight, as routes declare no callers."""

    weight: float = 1.0
    limits: DeclaredLimits = DeclaredLimits()


@dataclasses.dataclass(frozen=True)
class DeclaredAdapter:
    """An adapter with the default priority, as routes declare none."""

    priority: int = 0


@dataclasses.dataclass(frozen=True)
class RouteView:
    """The routes in force; implements ``following.View``.

    ``by_host`` holds the routes of each host, longest prefix first.
    ``newest_versions`` is shared with the follower, which adds to it.
    ``by_key`` maps digests of keys to their workspaces. ``admission_terms``
    has the services whose prompts are admitted by sidecars.
    """

    table: _table.RouteTable
    by_host: dict[str, tuple[_table.Route, ...]]
    services: dict[str, _table.Service]
    newest_versions: dict[str, NewestVersion]
    by_key: dict[bytes, workspaces.Workspace] = dataclasses.field(
        default_factory=dict
    )
    admission_terms: dict[str, following.AdmissionTerms] = dataclasses.field(
        default_factory=dict
    )

    @classmethod
    def from_table(
        cls,
        table: _table.RouteTable,
        newest_versions: dict[str, NewestVersion],
    ) -> 'RouteView':
        """Build the lookup tables of a route table."""
        by_host = collections.defaultdict(list)
        for route in table.routes:
            by_host[route.host.lower()].append(route)
        ordered = {
            host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
            for host, found in by_host.items()
        }
        services = {service.name: service for service in table.services}
        by_key = {
            key: workspace
            for workspace in table.workspaces
            for key in workspace.keys
        }
        return cls(
            table,
            ordered,
            services,
            newest_versions,
            by_key,
            _admission_terms(table),
        )

    @property
    def revision(self) -> int:
        return self.table.version

    @property
    def header_bytes(self) -> int:
        return self.table.limits.header_bytes

    @property
    def has_workspaces(self) -> bool:
        return bool(self.table.workspaces)

    @property
    def declared_workspaces(self) -> tuple[workspaces.Workspace, ...]:
        return self.table.workspaces

    def route(self, host: str, path: str) -> _table.Route | None:
        """Return the route with the longest prefix that matches the path."""
        path_only = path.partition('?')[0]
        for route in self.by_host.get(host.lower(), ()):
            if path_only.startswith(route.prefix):
                return route
        return None

    def resolve(
        self, request: events.Request, seed: float
    ) -> following.Terms | errors.Kind:
        """Return how to serve a request, or why it can't be served."""
        route = self.route(request.host, request.path)
        if route is None:
            return errors.Kind.NOT_FOUND
        workspace = self._authenticate(route, request.credential)
        if isinstance(workspace, errors.Kind):
            return workspace
        adapter = request.adapter
        if adapter is not None:
            adapter = self.newest_version(adapter.adapter)
        return following.Terms(
            service=_choose_service(route.shares, seed),
            adapter=adapter,
            deadline_ms=min(request.deadline_ms, route.timeout_ms),
            priority=_priority(route, workspace),
            most_runs=route.most_runs,
            repeatable=_is_repeatable(route),
            objective_ms=route.objective_ms,
            route=route.name,
            workspace=workspace,
            services=tuple(share.service for share in route.shares),
            timeout_ms=route.timeout_ms,
            is_stream=route.repeat is _table.RepeatPolicy.STREAM,
            resumable=_is_stream_resumable(route),
        )

    def workspace(
        self, head: events.RequestHead
    ) -> workspaces.Workspace | errors.Kind | None:
        """Return the workspace of a request, or why the request fails.

        None for a request without a workspace.
        """
        route = self.route(head.host, head.path)
        if route is None:
            return errors.Kind.NOT_FOUND
        return self._authenticate(route, head.credential)

    def _authenticate(
        self, route: _table.Route, credential: bytes | None
    ) -> workspaces.Workspace | errors.Kind | None:
        if not self.table.workspaces:
            return None
        found = None if credential is None else self.by_key.get(credential)
        if found is None and not route.public:
            return errors.Kind.UNKNOWN_KEY
        return found

    def newest_version(self, adapter: str) -> messages.AdapterVersion:
        """Return the newest known version of an adapter."""
        known = self.newest_versions.get(adapter)
        version = FIRST_VERSION if known is None else known.version
        return messages.AdapterVersion(adapter, version)

    def request_error(
        self, service: str, adapter: messages.AdapterVersion | None
    ) -> None:
        """Return None: routes only say how a request is admitted."""

    def candidate_versions(
        self, adapter: messages.AdapterVersion
    ) -> tuple[messages.AdapterVersion, ...]:
        """Return the newest version and the one that it replaces."""
        known = self.newest_versions.get(adapter.adapter)
        if known is None:
            return (self.newest_version(adapter.adapter),)
        newest = messages.AdapterVersion(adapter.adapter, known.version)
        previous = messages.AdapterVersion(adapter.adapter, known.previous)
        return (newest, previous)

    def superseded_ms(
        self, adapter: messages.AdapterVersion, at_ms: int
    ) -> int | None:
        """Return how long a newer version has been known, None if none is."""
        known = self.newest_versions.get(adapter.adapter)
        if known is None:
            return None
        since_ms = known.superseded_since_ms(adapter.version)
        return None if since_ms is None else at_ms - since_ms

    def service(self, name: str) -> DeclaredService | None:
        return DeclaredService() if name in self.services else None

    def adapter_slots(self, service: str) -> int:
        """Return how many adapters an endpoint of a service can hold."""
        declared = self.services.get(service)
        if declared is None or declared.engine is None:
            return 0
        return declared.engine.adapter_slots

    def adapter_room(self, service: str, models: tuple[str, ...]) -> int:
        """Return how many adapters an endpoint with these models can hold."""
        declared = self.services.get(service)
        if declared is None or declared.engine is None:
            return 0
        return declared.engine.adapter_room(models)

    def can_hold(self, service: str, adapter: messages.AdapterVersion) -> bool:
        """Tell whether an adapter fits beside its model."""
        model, _, _ = adapter.adapter.partition(ADAPTER_SEPARATOR)
        return self.adapter_room(service, (model,)) > 0

    def admission(self, service: str) -> following.AdmissionTerms | None:
        """Return how a service's prompts are admitted, None if they aren't."""
        return self.admission_terms.get(service)

    def check_path(self, service: str) -> str:
        """Return where endpoints of a service answer health checks."""
        declared = self.services.get(service)
        if declared is None or not declared.check_path:
            return following.DEFAULT_CHECK_PATH
        return declared.check_path

    def models(self, service: str) -> tuple[str, ...]:
        """Return the models that the endpoints of a service should hold."""
        declared = self.services.get(service)
        if declared is None or declared.engine is None:
            return ()
        return tuple(model.name for model in declared.engine.models)

    def adapter(self, name: str) -> DeclaredAdapter:
        return DeclaredAdapter()

    def caller(self, name: str) -> DeclaredCaller:
        return DeclaredCaller()


def _admission_terms(
    table: _table.RouteTable,
) -> dict[str, following.AdmissionTerms]:
    """Return the terms of the services whose prompts are admitted."""
    gaps_ms: dict[str, int] = {}
    for route in table.routes:
        if not route.event_gap_ms:
            continue
        for share in route.shares:
            gap_ms = gaps_ms.get(share.service, route.event_gap_ms)
            gaps_ms[share.service] = min(gap_ms, route.event_gap_ms)
    terms = {}
    for service in table.services:
        gap_ms = gaps_ms.get(service.name)
        if service.engine is None or gap_ms is None:
            continue
        steps = service.engine.tokens_per_event
        if steps > 1 and gap_ms <= PACED_STEP_MS * steps:
            terms[service.name] = following.AdmissionTerms(gap_ms, steps)
    return terms


def _priority(
    route: _table.Route, workspace: workspaces.Workspace | None
) -> int:
    if workspace is None or workspace.priority is None:
        return route.priority
    return workspace.priority


def _is_repeatable(route: _table.Route) -> bool:
    if route.repeat is _table.RepeatPolicy.ANY_NUMBER:
        return True
    return _is_stream_resumable(route)


def _is_stream_resumable(route: _table.Route) -> bool:
    is_stream = route.repeat is _table.RepeatPolicy.STREAM
    return is_stream and route.resumable


def _choose_service(
    shares: tuple[_table.ServiceShare, ...], seed: float
) -> str:
    """Choose a service by weight; ``seed`` is a random number in [0, 1)."""
    remaining = seed * sum(share.weight for share in shares)
    for share in shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return shares[-1].service
