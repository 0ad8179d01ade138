"""Demand for the adapters of one endpoint, summed over all gateways.

The sums are updated with each message of a gateway. They are read more than a
hundred times a second, and the cost of recomputing them grows with the number
of gateways: with sixty it was the largest part of a sidecar's processor time.
"""

import collections
import dataclasses
import operator

from berylhollow import messages


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterNeed:
    """Demand for one adapter, summed over all gateways.

    ``rate`` is in requests per second; ``gateways`` counts the gateways whose
    last demand names the adapter. ``queued`` counts the requests in flight
    that were sent with an older version and have not begun, ``overdue`` those
    of them that must not begin any more. ``urgency`` counts the waiting ones
    by their priority, 0 where no gateway states it.
    """

    adapter: messages.AdapterVersion
    waiting: int = 0
    in_flight: int = 0
    rate: float = 0.0
    gateways: int = 0
    queued: int = 0
    overdue: int = 0
    urgency: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayDemand:
    """The last demand of one gateway and when it arrived."""

    demands: messages.AdapterDemands
    at_ms: int


class Demand:
    """The last demand of each gateway and the sums over all of them.

    ``needs`` is keyed by adapter name. ``waiting_tokens`` counts the prompt
    tokens of all requests that wait at the endpoint. ``slot_counts`` counts
    the gateways by the number of slots that they state. ``revision`` is the
    highest configuration revision that any gateway has stated so far.
    """

    def __init__(self):
        self.by_gateway: dict[str, GatewayDemand] = {}
        self.needs: dict[str, AdapterNeed] = {}
        self.waiting_tokens = 0
        self.slot_counts: collections.Counter[int] = collections.Counter()
        self.gateways_allowing_load = 0
        self.revision = 0

    def update(
        self, gateway: str, demands: messages.AdapterDemands, at_ms: int
    ) -> None:
        """Replace the last demand of a gateway by a newer one."""
        self.revision = max(self.revision, demands.revision)
        before = self.by_gateway.get(gateway)
        self.by_gateway[gateway] = GatewayDemand(demands, at_ms)
        if before is not None:
            self._apply_demands(before.demands, -1)
        self._apply_demands(demands, 1)

    def expire_before(self, at_ms: int) -> None:
        """Drop gateways whose last demand arrived at ``at_ms`` or earlier."""
        silent = [
            gateway
            for gateway, last in self.by_gateway.items()
            if last.at_ms <= at_ms
        ]
        for gateway in silent:
            self._apply_demands(self.by_gateway.pop(gateway).demands, -1)

    @property
    def slots(self) -> int:
        """The lowest number of slots that any gateway states."""
        return min(self.slot_counts, default=0)

    @property
    def models(self) -> tuple[str, ...]:
        """The models that the endpoint's service needs."""
        for last in self.by_gateway.values():
            return last.demands.models
        return ()

    @property
    def is_model_held_back(self) -> bool:
        """Whether every gateway asks the endpoint not to load its model."""
        return not self.gateways_allowing_load

    def gateways_with_requests(self) -> list[str]:
        """Return the gateways with requests in flight or waiting here."""
        return [
            gateway
            for gateway, last in self.by_gateway.items()
            if any(
                entry.waiting or entry.in_flight
                for entry in last.demands.entries
            )
        ]

    def gateways_sharing_reads(self) -> list[str]:
        """Return the gateways that receive what other gateways have read."""
        return [
            gateway
            for gateway, last in self.by_gateway.items()
            if last.demands.shares_reads
        ]

    def _apply_demands(
        self, demands: messages.AdapterDemands, sign: int
    ) -> None:
        self.waiting_tokens += sign * demands.waiting_tokens
        self.gateways_allowing_load += sign * (not demands.hold_model)
        self.slot_counts[demands.slots] += sign
        if not self.slot_counts[demands.slots]:
            del self.slot_counts[demands.slots]
        for entry in demands.entries:
            self._apply_entry(entry, sign)

    def _apply_entry(self, entry: messages.AdapterDemand, sign: int) -> None:
        name = entry.adapter.adapter
        before = self.needs.get(name, AdapterNeed(entry.adapter))
        gateways = before.gateways + sign
        if not gateways:
            del self.needs[name]
            return
        # Versions only rise, so the newest one is kept even if the gateway
        # that named it expires.
        newest = max(
            before.adapter,
            entry.adapter,
            key=operator.attrgetter('number'),
        )
        self.needs[name] = AdapterNeed(
            newest,
            before.waiting + sign * entry.waiting,
            before.in_flight + sign * entry.in_flight,
            max(0.0, before.rate + sign * entry.rate),
            gateways,
            before.queued + sign * entry.queued,
            before.overdue + sign * entry.overdue,
            before.urgency + sign * entry.urgency,
        )
