"""The endpoints of a service as a routing policy sees them."""

import collections.abc

from berylhollow.gateway import _backlog
from berylhollow.gateway import _origins
from berylhollow.gateway import _rate_limits
from berylhollow.gateway import _resumption
from berylhollow.gateway import _state
from berylhollow.gateway import _superseded
from berylhollow import messages
from berylhollow import policy

UNKNOWN_CAPACITY = 1
"""Requests that an endpoint runs at once, where neither report nor list
says."""
MAX_HOLDERS_COMPARED = 16
"""How many holders of an adapter are compared for one request."""


class Fleet:
    """The endpoints that one request may be offered to.

    Implements ``policy.Fleet`` over the state of a gateway.
    """

    def __init__(
        self,
        state: _state.State,
        active: _state.ActiveRequest,
        at_ms: int,
    ):
        self.state = state
        self.service = active.service
        self.active = active
        self.tried = active.tried_endpoints
        self.seed = active.seed
        self.at_ms = at_ms
        self.uses_ejected = _resumption.are_all_ejected(state, active, at_ms)
        self.avoids_doubtful = False
        if active.software_version:
            self.avoids_doubtful = any(
                not _origins.is_doubtful(state, name) for name in self.names()
            )

    def names(self) -> list[str]:
        """Return every endpoint that may be chosen; scans the service."""
        return self._usable(self.state.placement.digests.get(self.service, {}))

    def sample(self, seed: float, count: int) -> list[str]:
        """Return at most ``count`` endpoints, evenly spread.

        Avoids a scan of the service unless none of them may be chosen.
        """
        members = self.state.placement.names(self.service)
        return self._usable(_spread(members, seed, count)) or self.names()

    def _usable(self, names: collections.abc.Iterable[str]) -> list[str]:
        return [name for name in names if self.may_choose(name)]

    def may_choose(self, name: str) -> bool:
        """Tell whether an endpoint accepts work and was not tried yet."""
        endpoint = self.state.endpoints.get(name)
        return (
            endpoint is not None
            and name not in self.tried
            and self._is_allowed(name)
            and self._is_usable(endpoint)
            and endpoint.has_model
            and _resumption.may_run_at(self.state, self.active, name)
            and not (
                self.avoids_doubtful and _origins.is_doubtful(self.state, name)
            )
            and _rate_limits.has_room(
                self.state, self.active, endpoint, self.at_ms
            )
        )

    def _is_usable(self, endpoint: _state.Endpoint) -> bool:
        if self.uses_ejected:
            is_paused = self.at_ms < endpoint.paused_until_ms
            return endpoint.is_usable and not is_paused
        return endpoint.is_usable_at(self.at_ms)

    def _is_allowed(self, name: str) -> bool:
        limited_to = self.active.limited_to
        return limited_to is None or name in limited_to

    def holders(self, adapter: messages.AdapterVersion) -> list[str]:
        """Return endpoints that hold an adapter, ready to run it.

        Only some are returned if many hold it: a popular adapter is held by
        hundreds of ten thousand endpoints, and comparing them all took ten
        milliseconds a request. The least busy of a dozen and a half is
        nearly the least busy of all.
        """
        versions = self.state.follower.current.candidate_versions(adapter)
        for version in versions:
            ready = self.state.placement.ready.get(version, ())
            sampled = _spread(list(ready), self.seed, MAX_HOLDERS_COMPARED)
            names = self._usable_with(sampled, version) or (
                self._usable_with(ready, version)
            )
            if names:
                return names
        return []

    def _usable_with(
        self,
        names: collections.abc.Iterable[str],
        version: messages.AdapterVersion,
    ) -> list[str]:
        return [
            name
            for name in self._usable(names)
            if _superseded.may_be_offered(
                self.state, self.active, name, version, self.at_ms
            )
        ]

    def awaiting(self, adapter: messages.AdapterVersion) -> list[str]:
        """Return endpoints that load it, or where requests wait for it."""
        names = self.state.placement.endpoints_loading(adapter, self.at_ms)
        return [name for name in names if self.may_choose(name)]

    def ranked(
        self, adapter: messages.AdapterVersion
    ) -> collections.abc.Iterator[str]:
        """Yield endpoints in the rendezvous order of an adapter.

        Only the head of that order is cached. All other endpoints follow it
        in a fixed order, so that one is found when the whole head is down.
        """
        head = self.state.placement.order(self.service, adapter)
        yield from (name for name in head if self.may_choose(name))
        others = self.state.placement.digests.get(self.service, {})
        yield from (
            name
            for name in others
            if name not in head and self.may_choose(name)
        )

    def has_held_recently(
        self, name: str, adapter: messages.AdapterVersion
    ) -> bool:
        """Tell whether an endpoint recently held an adapter."""
        return self.state.placement.was_recently_held(name, adapter)

    def view(self, name: str) -> policy.EndpointView:
        """Return the load and capacity of an endpoint, as far as known."""
        endpoint = self.state.endpoints[name]
        report = endpoint.report
        backlog_ms = _backlog.before(self.state, endpoint, self.active)
        read_ms = _backlog.read_ms(self.state, endpoint, self.active)
        domain = endpoint.instance.failure_domain
        if report is None:
            capacity = endpoint.instance.capacity or UNKNOWN_CAPACITY
            return policy.EndpointView(
                name,
                domain,
                capacity,
                len(endpoint.attempts_in_flight),
                0.0,
                0,
                True,
                0.0,
                backlog_ms,
                read_ms,
            )
        return policy.EndpointView(
            name,
            domain,
            report.capacity,
            self.in_flight(endpoint),
            report.run_ms,
            len(report.wanted),
            report.evictable,
            report.victim_value,
            backlog_ms,
            read_ms,
            report.read_share,
        )

    def in_flight(self, endpoint: _state.Endpoint) -> int:
        """Return how many requests an endpoint has, as far as is known.

        The requests placed by this gateway are known exactly; a report adds
        those that other gateways had placed when it was made.
        """
        own = len(endpoint.attempts_in_flight)
        report = endpoint.report
        if report is None:
            return own
        others = report.running + report.queued - endpoint.in_flight_at_report
        return own + max(0, others)

    def least_loaded(self) -> str | None:
        """Return the endpoint with the least load for its capacity."""
        names = self.names()
        return min(names, key=self.load_of, default=None)

    def load_of(self, name: str) -> tuple[float, str]:
        """Return the load per capacity, and the name to break ties."""
        endpoint = self.state.endpoints[name]
        capacity = endpoint.instance.capacity or UNKNOWN_CAPACITY
        if endpoint.report is not None:
            capacity = max(1, endpoint.report.capacity)
        return self.in_flight(endpoint) / capacity, name

    def load_wait_ms(self) -> float:
        """Return the expected time until a load ordered now is ready."""
        waiting = self.state.placement.loads_waiting.get(self.service, 0)
        return (waiting + 1) * self.state.options.load_interval_ms


def _spread(
    names: collections.abc.Sequence[str], seed: float, count: int
) -> collections.abc.Sequence[str]:
    """Return at most ``count`` names, evenly spread, starting at ``seed``."""
    start = int(seed * len(names))
    if len(names) <= count:
        return [*names[start:], *names[:start]]
    stride = len(names) // count
    return [
        names[(start + index * stride) % len(names)] for index in range(count)
    ]
