"""A value that decays exponentially."""

import dataclasses
import math


@dataclasses.dataclass(slots=True)
class DecayedValue:
    """A value that decays exponentially; it is ``value`` at ``at_ms``."""

    value: float = 0.0
    at_ms: int = 0

    def value_at(self, at_ms: int, time_constant_ms: float) -> float:
        """Return the value, decayed until the given time."""
        return self.value * math.exp((self.at_ms - at_ms) / time_constant_ms)

    def add(self, amount: float, at_ms: int, time_constant_ms: float) -> None:
        """Decay the value until the given time and add an amount."""
        self.value = self.value_at(at_ms, time_constant_ms) + amount
        self.at_ms = at_ms
