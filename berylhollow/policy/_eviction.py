"""Choice of the adapter that a slot loses."""

from berylhollow.policy import _types

GAIN_FACTOR = 2.0
"""What nobody waits for must be worth this much more than what it evicts.

Guards against thrash: two adapters of about the same worth would evict each
other by turns, and each load would be of no use.
"""


class LeastDemand:
    """Evict the adapter with the least expected demand.

    A load costs the same whichever adapter it is, so what keeping one is
    worth is how often it saves a load. An adapter that was loaded and has
    not run yet still has its whole use before it.
    """

    def value(self, held: _types.Held, at_ms: int) -> float:
        return held.rate * (1 + held.priority)

    def worth_it(self, gain: float, loss: float) -> bool:
        return gain > GAIN_FACTOR * loss
