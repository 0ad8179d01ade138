"""Estimates of how often each adapter is asked for."""

import dataclasses
import math

from berylhollow import messages

MS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True)
class Decayed:
    """A count of requests that decays over a time constant."""

    count: float = 0.0
    at_ms: int = 0

    def at(self, at_ms: int, constant_ms: float) -> float:
        """Return the count decayed to a moment."""
        return self.count * math.exp((self.at_ms - at_ms) / constant_ms)

    def add(self, at_ms: int, constant_ms: float) -> None:
        """Count one more at a moment."""
        self.count = self.at(at_ms, constant_ms) + 1
        self.at_ms = at_ms


class DecayedDemand:
    """One decayed count for each adapter.

    Forgets adapters whose count has become negligible, so that its memory
    follows the adapters in use and not all that were ever asked for.
    """

    def __init__(self, constant_ms: float, most_adapters: int = 4096):
        self.constant_ms = constant_ms
        self.most_adapters = most_adapters
        self.counts: dict[messages.AdapterVersion, Decayed] = {}

    def note(self, adapter: messages.AdapterVersion, at_ms: int) -> None:
        """A request for the adapter has arrived."""
        count = self.counts.get(adapter)
        if count is None:
            if len(self.counts) >= self.most_adapters:
                self.forget(at_ms)
            count = self.counts[adapter] = Decayed()
        count.add(at_ms, self.constant_ms)

    def rate(self, adapter: messages.AdapterVersion, at_ms: int) -> float:
        """Return the expected requests a second."""
        count = self.counts.get(adapter)
        if count is None:
            return 0.0
        decayed = count.at(at_ms, self.constant_ms)
        return decayed * MS_PER_SECOND / self.constant_ms

    def forget(self, at_ms: int) -> None:
        """Drop the lesser half."""
        kept = sorted(
            self.counts,
            key=lambda adapter: self.rate(adapter, at_ms),
            reverse=True,
        )[: self.most_adapters // 2]
        self.counts = {adapter: self.counts[adapter] for adapter in kept}
