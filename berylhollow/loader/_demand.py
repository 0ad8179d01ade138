"""What all gateways together need of one endpoint's adapters.

The sums are kept up to date as each gateway tells. Added up anew whenever they
are looked at, which is more than a hundred times a second, they grow with the
gateways: with sixty they were the largest part of a sidecar's processor.
"""

import collections
import dataclasses

from berylhollow import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """What all gateways together need of one adapter here.

    ``gateways`` is how many of them have named it.
    """

    adapter: messages.AdapterVersion
    waiting: int = 0
    in_flight: int = 0
    rate: float = 0.0
    gateways: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """The demand of one gateway, and when it said so."""

    demands: messages.AdapterDemands
    at_ms: int


class Demand:
    """The last word of each gateway, and the sums over all of them.

    ``needs`` are by the name of the adapter; ``waiting_tokens`` are those of
    the prompts that all gateways have waiting at the endpoint. ``revision``
    is the newest of the configuration that any gateway ever had.
    """

    def __init__(self):
        self.told: dict[str, Told] = {}
        self.needs: dict[str, Need] = {}
        self.waiting_tokens = 0
        self.slots_told: collections.Counter[int] = collections.Counter()
        self.going_ahead = 0
        self.revision = 0

    def tell(
        self, gateway: str, demands: messages.AdapterDemands, at_ms: int
    ) -> None:
        """Put a gateway's newest word in the place of its last one."""
        self.revision = max(self.revision, demands.revision)
        before = self.told.get(gateway)
        self.told[gateway] = Told(demands, at_ms)
        if before is not None:
            self._count(before.demands, -1)
        self._count(demands, 1)

    def forget_before(self, at_ms: int) -> None:
        """Forget gateways that have said nothing since."""
        silent = [
            gateway
            for gateway, told in self.told.items()
            if told.at_ms <= at_ms
        ]
        for gateway in silent:
            self._count(self.told.pop(gateway).demands, -1)

    @property
    def slots(self) -> int:
        """How many adapters the endpoint may hold, by the least told."""
        return min(self.slots_told, default=0)

    @property
    def models(self) -> tuple[str, ...]:
        """The models that the endpoint's service needs."""
        for told in self.told.values():
            return told.demands.models
        return ()

    @property
    def holds_model_back(self) -> bool:
        """Whether no gateway lets the endpoint load its model."""
        return not self.going_ahead

    def users(self) -> list[str]:
        """Return the gateways that have requests here, or waiting to come."""
        return [
            gateway
            for gateway, told in self.told.items()
            if any(
                entry.waiting or entry.in_flight
                for entry in told.demands.entries
            )
        ]

    def listeners(self) -> list[str]:
        """Return the gateways that listen here to what others have read."""
        return [
            gateway
            for gateway, told in self.told.items()
            if told.demands.shares_reads
        ]

    def _count(self, demands: messages.AdapterDemands, sign: int) -> None:
        self.waiting_tokens += sign * demands.waiting_tokens
        self.going_ahead += sign * (not demands.hold_model)
        self.slots_told[demands.slots] += sign
        if not self.slots_told[demands.slots]:
            del self.slots_told[demands.slots]
        for entry in demands.entries:
            self._add(entry, sign)

    def _add(self, entry: messages.AdapterDemand, sign: int) -> None:
        name = entry.adapter.adapter
        known = self.needs.get(name, Need(entry.adapter))
        gateways = known.gateways + sign
        if not gateways:
            del self.needs[name]
            return
        # The newest version stays if the gateway that told of it falls
        # silent: versions only rise.
        newest = max(
            known.adapter, entry.adapter, key=lambda named: int(named.version)
        )
        self.needs[name] = Need(
            newest,
            known.waiting + sign * entry.waiting,
            known.in_flight + sign * entry.in_flight,
            max(0.0, known.rate + sign * entry.rate),
            gateways,
        )
