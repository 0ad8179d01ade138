"""Estimates of the request rate of each adapter."""

from berylhollow import messages
from berylhollow.util import decay

MS_PER_SECOND = 1000


class DecayedDemand:
    """Estimates demand by one exponentially decayed count per adapter.

    Keeps at most ``max_adapters`` counts and drops the lowest ones, so that
    memory is bounded by the adapters in use, not by all ever requested.
    """

    def __init__(self, time_constant_ms: float, max_adapters: int = 4096):
        self.time_constant_ms = time_constant_ms
        self.max_adapters = max_adapters
        self.counts: dict[messages.AdapterVersion, decay.DecayedValue] = {}

    def record_request(
        self, adapter: messages.AdapterVersion, at_ms: int
    ) -> None:
        """Count one request for the adapter."""
        count = self.counts.get(adapter)
        if count is None:
            if len(self.counts) >= self.max_adapters:
                self.drop_lowest(at_ms)
            count = self.counts[adapter] = decay.DecayedValue()
        count.add(1, at_ms, self.time_constant_ms)

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
