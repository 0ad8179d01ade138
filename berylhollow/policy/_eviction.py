"""Choice of the adapter to evict from a slot."""

from berylhollow.policy import _types

MIN_GAIN_RATIO = 2.0
"""How many times more a prefetched adapter must be worth than its victim.

Prevents thrashing: two adapters of about the same worth would evict each
other in turn, and none of the loads would be of use.
"""


class LeastDemand:
    """Evicts the adapter with the least expected demand.

    All adapters cost the same to load, so an adapter is worth keeping as
    often as it saves a load. One that was loaded and has not run yet is
    valued by its whole expected demand.
    """

    def value(self, held: _types.HeldAdapter, at_ms: int) -> float:
        return held.rate * (1 + held.priority)

    def should_evict(self, gain: float, loss: float) -> bool:
        return gain > MIN_GAIN_RATIO * loss
