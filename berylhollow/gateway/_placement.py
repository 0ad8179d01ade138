"""Index of adapters by endpoint, so that routing never scans endpoints."""

import dataclasses

from berylhollow import messages
from berylhollow.policy import rendezvous
from berylhollow.util import bounded

EXPECTED_LOAD_TTL_MS = 750
"""How long an offer counts as an expected load until a report shows it."""
MAX_CANDIDATES = 8
"""Endpoints cached from the head of each adapter's rendezvous order."""
MAX_RECENTLY_HELD = 30
"""Adapters remembered as recently held, for each endpoint. Endpoints keep
copies of about 36 besides those in their slots; reports may miss a few."""

# Names are the keys of a dict, not members of a set: the order of a set
# differs between processes, so ties would be resolved differently too.
OrderedNames = dict[str, None]


@dataclasses.dataclass(slots=True)
class Placement:
    """Endpoints by adapter, from reports and this gateway's own offers.

    ``ready`` maps adapters to the endpoints that have loaded them, ``pending``
    to those that load them or have queued a load. ``expected_loads`` has the
    times at which the loads expected from offers expire. ``recently_held`` has
    the adapters that each endpoint was last seen with, the oldest first.
    ``loads_waiting`` counts the queued loads of each service, ``measured`` its
    endpoints that report the time to read a prompt token. ``digests`` maps
    the endpoints of a service to their digests, and ``sorted_names`` caches
    their names. ``cached_orders`` has the head of each adapter's rendezvous
    order and is dropped when an endpoint is added or removed.
    """

    ready: dict[messages.AdapterVersion, OrderedNames] = dataclasses.field(
        default_factory=dict
    )
    pending: dict[messages.AdapterVersion, OrderedNames] = dataclasses.field(
        default_factory=dict
    )
    expected_loads: dict[messages.AdapterVersion, dict[str, int]] = (
        dataclasses.field(default_factory=dict)
    )
    recently_held: dict[str, dict[messages.AdapterVersion, None]] = (
        dataclasses.field(default_factory=dict)
    )
    loads_waiting: dict[str, int] = dataclasses.field(default_factory=dict)
    measured: dict[str, int] = dataclasses.field(default_factory=dict)
    digests: dict[str, dict[str, int]] = dataclasses.field(
        default_factory=dict
    )
    sorted_names: dict[str, list[str]] = dataclasses.field(
        default_factory=dict
    )
    cached_orders: dict[str, dict[messages.AdapterVersion, list[str]]] = (
        dataclasses.field(default_factory=dict)
    )

    def add(self, name: str, service: str) -> None:
        """Add an endpoint to those of its service."""
        digests = self.digests.setdefault(service, {})
        if name not in digests:
            digests[name] = rendezvous.digest(name)
            self._invalidate_caches(service)

    def remove(
        self, name: str, service: str, report: messages.Report | None
    ) -> None:
        """Remove an endpoint and the adapters in its last report."""
        self.replace(name, report, None)
        self.recently_held.pop(name, None)
        if self.digests.get(service, {}).pop(name, None) is not None:
            self._invalidate_caches(service)

    def names(self, service: str) -> list[str]:
        """Return the endpoints of a service, sorted by name."""
        names = self.sorted_names.get(service)
        if names is None:
            names = self.sorted_names[service] = sorted(
                self.digests.get(service, {})
            )
        return names

    def replace(
        self,
        name: str,
        old: messages.Report | None,
        new: messages.Report | None,
    ) -> None:
        """Replace an endpoint's former report by a new one."""
        if old is not None:
            self._add_queued_loads(old, -1)
            self._add_measured(old, -1)
            _discard(self.ready, name, _ready_adapters(old))
            _discard(self.pending, name, _pending_adapters(old))
        if new is not None:
            self._add_queued_loads(new, 1)
            self._add_measured(new, 1)
            _insert(self.ready, name, _ready_adapters(new))
            self._record_held(name, _ready_adapters(new))
            _insert(self.pending, name, _pending_adapters(new))

    def was_recently_held(
        self, name: str, adapter: messages.AdapterVersion
    ) -> bool:
        """Tell whether an endpoint was recently seen with an adapter."""
        return adapter in self.recently_held.get(name, ())

    def _record_held(
        self, name: str, adapters: list[messages.AdapterVersion]
    ) -> None:
        recent = self.recently_held.setdefault(name, {})
        for adapter in adapters:
            recent.pop(adapter, None)
            recent[adapter] = None
        bounded.drop_oldest(recent, MAX_RECENTLY_HELD)

    def expect(
        self, adapter: messages.AdapterVersion, name: str, at_ms: int
    ) -> None:
        """Count a load as pending because a request was routed there.

        Guards against bursts for an adapter that is not loaded anywhere. Until
        a report showed the load, each request would go to another endpoint.
        """
        if name in self.ready.get(adapter, ()):
            return
        expiries = self.expected_loads.setdefault(adapter, {})
        expiries[name] = at_ms + EXPECTED_LOAD_TTL_MS

    def endpoints_loading(
        self, adapter: messages.AdapterVersion, at_ms: int
    ) -> list[str]:
        """Return the endpoints that load the adapter or are expected to."""
        names = dict(self.pending.get(adapter, {}))
        expiries = self.expected_loads.get(adapter)
        if expiries:
            for name in [key for key in expiries if expiries[key] <= at_ms]:
                del expiries[name]
            names |= dict.fromkeys(expiries)
            if not expiries:
                del self.expected_loads[adapter]
        return list(names)

    def order(
        self, service: str, adapter: messages.AdapterVersion
    ) -> list[str]:
        """Return the head of the adapter's rendezvous order."""
        orders = self.cached_orders.setdefault(service, {})
        order = orders.get(adapter)
        if order is None:
            key = rendezvous.digest(str(adapter))
            digests = self.digests.get(service, {})
            order = rendezvous.top(key, digests, MAX_CANDIDATES)
            orders[adapter] = order
        return order

    def _invalidate_caches(self, service: str) -> None:
        self.cached_orders.pop(service, None)
        self.sorted_names.pop(service, None)

    def _add_queued_loads(self, report: messages.Report, sign: int) -> None:
        waiting = self.loads_waiting.get(report.service, 0)
        self.loads_waiting[report.service] = waiting + sign * len(
            report.wanted
        )

    def _add_measured(self, report: messages.Report, sign: int) -> None:
        if report.token_ms > 0:
            count = self.measured.get(report.service, 0)
            self.measured[report.service] = count + sign


def _ready_adapters(report: messages.Report) -> list[messages.AdapterVersion]:
    return [
        slot.adapter
        for slot in report.slots
        if slot.ready and slot.adapter is not None
    ]


def _pending_adapters(
    report: messages.Report,
) -> list[messages.AdapterVersion]:
    """Return the adapters that an endpoint loads or has queued to load."""
    loading = [
        slot.adapter
        for slot in report.slots
        if not slot.ready and slot.adapter is not None
    ]
    return [*loading, *report.wanted]


def _insert(index, name: str, adapters) -> None:
    for adapter in adapters:
        index.setdefault(adapter, {})[name] = None


def _discard(index, name: str, adapters) -> None:
    for adapter in adapters:
        names = index.get(adapter)
        if names is None:
            continue
        names.pop(name, None)
        if not names:
            del index[adapter]
