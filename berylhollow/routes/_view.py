"""Look up what the published routes say of one request."""

import collections
import dataclasses

from berylhollow import errors
from berylhollow import events
from berylhollow import following
from berylhollow import messages
from berylhollow.routes import _table
from berylhollow import workspaces

ADAPTER_SEPARATOR = '/'
"""Between the model and the adapter in the name that a request gives."""

FIRST_VERSION = '1'
"""The version of an adapter of which no newer one was published."""

SUPERSEDED_MS = 2500
"""How long the version before stays in use while the new one is loaded.

Half of the five seconds within which users want a new version everywhere:
the rest covers the queue of an endpoint, since a request that is sent in
time may begin to run late.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class NewestVersion:
    """The newest version of an adapter, and the one that it replaces."""

    version: str
    learned_ms: int
    before: str


@dataclasses.dataclass(frozen=True)
class DeclaredService:
    """What the policies weigh for a service of the published routes."""

    load_stall_weight: float = 1.0
    batch_efficiency_weight: float = 1.0


@dataclasses.dataclass(frozen=True)
class DeclaredLimits:
    """No limit is declared of any caller."""

    in_flight: int | None = None
    rate_per_s: float | None = None


@dataclasses.dataclass(frozen=True)
class DeclaredCaller:
    """Every caller has the same share."""

    weight: float = 1.0
    limits: DeclaredLimits = DeclaredLimits()


@dataclasses.dataclass(frozen=True)
class DeclaredAdapter:
    """Every adapter has the same priority."""

    priority: int = 0


@dataclasses.dataclass(frozen=True)
class RouteView:
    """The routes in force; implements ``following.View``.

    ``by_host`` holds the routes of each host, those with the longest prefix
    first. ``newest`` is shared with the follower, which adds to it.
    ``by_key`` has the workspaces by the digests of their keys.
    """

    table: _table.RouteTable
    by_host: dict[str, tuple[_table.Route, ...]]
    services: dict[str, _table.Service]
    newest: dict[str, NewestVersion]
    by_key: dict[bytes, workspaces.Workspace] = dataclasses.field(
        default_factory=dict
    )

    @classmethod
    def of(
        cls, table: _table.RouteTable, newest: dict[str, NewestVersion]
    ) -> 'RouteView':
        """Return the view of a table."""
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
        return cls(table, ordered, services, newest, by_key)

    @property
    def revision(self) -> int:
        return self.table.version

    @property
    def has_workspaces(self) -> bool:
        return bool(self.table.workspaces)

    @property
    def declared_workspaces(self) -> tuple[workspaces.Workspace, ...]:
        return self.table.workspaces

    def route(self, host: str, path: str) -> _table.Route | None:
        """Return the route with the longest prefix that begins the path."""
        plain = path.partition('?')[0]
        for route in self.by_host.get(host.lower(), ()):
            if plain.startswith(route.prefix):
                return route
        return None

    def resolve(
        self, request: events.Request, seed: float
    ) -> following.Terms | errors.Kind:
        """Return how to serve a request, or why it can't be served."""
        route = self.route(request.host, request.path)
        if route is None:
            return errors.Kind.NOT_FOUND
        workspace = self._workspace(route, request.credential)
        if isinstance(workspace, errors.Kind):
            return workspace
        adapter = request.adapter
        if adapter is not None:
            adapter = self.newest_of(adapter.adapter)
        return following.Terms(
            service=_pick(route.shares, seed),
            adapter=adapter,
            deadline_ms=min(request.deadline_ms, route.timeout_ms),
            priority=_priority(route, workspace),
            most_runs=route.most_runs,
            repeatable=_repeatable(route),
            objective_ms=route.objective_ms,
            route=route.name,
            workspace=workspace,
        )

    def workspace(
        self, head: events.RequestHead
    ) -> workspaces.Workspace | errors.Kind | None:
        """Return whose request it is, None if nobody's, or why it fails."""
        route = self.route(head.host, head.path)
        if route is None:
            return errors.Kind.NOT_FOUND
        return self._workspace(route, head.credential)

    def _workspace(
        self, route: _table.Route, credential: bytes | None
    ) -> workspaces.Workspace | errors.Kind | None:
        if not self.table.workspaces:
            return None
        found = None if credential is None else self.by_key.get(credential)
        if found is None and not route.public:
            return errors.Kind.UNKNOWN_KEY
        return found

    def newest_of(self, adapter: str) -> messages.AdapterVersion:
        """Return the newest version of an adapter that is known."""
        known = self.newest.get(adapter)
        version = FIRST_VERSION if known is None else known.version
        return messages.AdapterVersion(adapter, version)

    def acceptable(
        self, adapter: messages.AdapterVersion, at_ms: int
    ) -> tuple[messages.AdapterVersion, ...]:
        """Return the versions that a request may run on, newest first."""
        known = self.newest.get(adapter.adapter)
        if known is None:
            return (self.newest_of(adapter.adapter),)
        newest = messages.AdapterVersion(adapter.adapter, known.version)
        if at_ms - known.learned_ms >= SUPERSEDED_MS:
            return (newest,)
        before = messages.AdapterVersion(adapter.adapter, known.before)
        return (newest, before)

    def service(self, name: str) -> DeclaredService | None:
        return DeclaredService() if name in self.services else None

    def adapter_slots(self, service: str) -> int:
        """Return how many adapters an endpoint of a service can hold."""
        declared = self.services.get(service)
        if declared is None or declared.engine is None:
            return 0
        return declared.engine.adapter_slots

    def models(self, service: str) -> tuple[str, ...]:
        """Return the models that endpoints of a service are to hold."""
        declared = self.services.get(service)
        if declared is None or declared.engine is None:
            return ()
        return tuple(name for name, _ in declared.engine.adapters)

    def adapter(self, name: str) -> DeclaredAdapter:
        return DeclaredAdapter()

    def caller(self, name: str) -> DeclaredCaller:
        return DeclaredCaller()


def _priority(
    route: _table.Route, workspace: workspaces.Workspace | None
) -> int:
    if workspace is None or workspace.priority is None:
        return route.priority
    return workspace.priority


def _repeatable(route: _table.Route) -> bool:
    if route.repeat is _table.Repeat.STREAM:
        return route.resumable
    return route.repeat is _table.Repeat.ANY_NUMBER


def _pick(shares: tuple[_table.Share, ...], seed: float) -> str:
    """Return a service by the weights; ``seed`` is in [0, 1)."""
    left = seed * sum(share.weight for share in shares)
    for share in shares:
        left -= share.weight
        if left < 0:
            return share.service
    return shares[-1].service
