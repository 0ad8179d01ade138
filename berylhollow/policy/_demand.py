"""Estimates of the request rate of each adapter."""

import dataclasses
import math

from berylhollow import messages

MS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True)
class DecayedCount:
    """A count of requests that decays exponentially.

    ``count`` is its value at ``at_ms``.
    """

    count: float = 0.0
    at_ms: int = 0

    def value_at(self, at_ms: int, time_constant_ms: float) -> float:
        """Return the count, decayed until the given time."""
        return self.count * math.exp((self.at_ms - at_ms) / time_constant_ms)

    def increment(self, at_ms: int, time_constant_ms: float) -> None:
        """Decay the count until the given time and add one."""
        self.count = self.value_at(at_ms, time_constant_ms) + 1
        self.at_ms = at_ms


class DecayedDemand:
    """Estimates demand by one exponentially decayed count per adapter.

    Keeps at most ``max_adapters`` counts and drops the lowest ones, so that
    memory is bounded by the adapters in use, not by all ever requested.
    """

    def __init__(self, time_constant_ms: float, max_adapters: int = 4096):
        self.time_constant_ms = time_constant_ms
        self.max_adapters = max_adapters
        self.counts: dict[messages.AdapterVersion, DecayedCount] = {}

    def record_request(
        self, adapter: messages.AdapterVersion, at_ms: int
    ) -> None:
        """Count one request for the adapter."""
        count = self.counts.get(adapter)
        if count is None:
            if len(self.counts) >= self.max_adapters:
                self.drop_lowest(at_ms)
            count = self.counts[adapter] = DecayedCount()
        count.increment(at_ms, self.time_constant_ms)

    def rate(self, adapter: messages.AdapterVersion, at_ms: int) -> float:
        """Return the expected requests per second for the adapter."""
        count = self.counts.get(adapter)
        if count is None:
            return 0.0
        decayed = count.value_at(at_ms, self.time_constant_ms)
        return decayed * MS_PER_SECOND / self.time_constant_ms

    def drop_lowest(self, at_ms: int) -> None:
        """Keep only the ``max_adapters // 2`` adapters with most demand."""
        kept = sorted(
            self.counts,
            key=lambda adapter: self.rate(adapter, at_ms),
            reverse=True,
        )[: self.max_adapters // 2]
        self.counts = {adapter: self.counts[adapter] for adapter in kept}
