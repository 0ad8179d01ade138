"""What all gateways together have used of each quota: added up beside them.

A book lends nothing and decides nothing. Any process that all gateways have a
link to can keep one, and as many may as like: each adds up what it is told.
"""

import dataclasses

FORGET_MS = 3_000
"""After so long without word a gateway's counters are forgotten. Guards
against a gateway that had another sidecar keep its book meanwhile: what it
spent there would count here as if it were spent now."""

ASKED_MS = 1500
"""For how long a gateway's demand counts after its last word."""


@dataclasses.dataclass(frozen=True, slots=True)
class Use:
    """What one gateway has used of a workspace's quota, by its own count.

    ``spent`` counts from the start of the gateway, ``asked_per_s`` is what
    its callers ask for, served or not.
    """

    workspace: str
    spent: int
    asked_per_s: int


@dataclasses.dataclass(frozen=True, slots=True)
class Sum:
    """What all gateways have used and ask for, and the part of one of them.

    ``spent`` counts from some time on, so only its changes tell anything.
    ``askers`` is at how many gateways callers ask for something.
    """

    workspace: str
    spent: int
    asked_per_s: int
    own_spent: int
    own_asked_per_s: int
    askers: int = 0


@dataclasses.dataclass(slots=True)
class _Word:
    """The last word of one gateway."""

    incarnation: str
    uses: dict[str, Use]
    at_ms: int


class Book:
    """Sums of what gateways tell; a pure machine.

    What a gateway spent before its first word here is not counted: it may
    have been running for long.
    """

    def __init__(self):
        self.words: dict[str, _Word] = {}
        self.spent: dict[str, int] = {}

    def tell(
        self,
        gateway: str,
        incarnation: str,
        uses: tuple[Use, ...],
        at_ms: int,
    ) -> tuple[Sum, ...]:
        """Take a gateway's word and return the sums as they are now."""
        self._forget(at_ms)
        before = self.words.get(gateway)
        known = {}
        if before is not None and before.incarnation == incarnation:
            known = before.uses
        told = {use.workspace: use for use in uses}
        for name, use in told.items():
            spent = self.spent.setdefault(name, 0)
            if name in known:
                self.spent[name] = spent + use.spent - known[name].spent
        self.words[gateway] = _Word(incarnation, told, at_ms)
        return tuple(self._sum(use, at_ms) for use in uses)

    def _sum(self, own: Use, at_ms: int) -> Sum:
        asked = askers = 0
        for word in self.words.values():
            use = word.uses.get(own.workspace)
            if use is not None and at_ms - word.at_ms < ASKED_MS:
                asked += use.asked_per_s
                askers += use.asked_per_s > 0
        return Sum(
            own.workspace,
            self.spent[own.workspace],
            asked,
            own.spent,
            own.asked_per_s,
            askers,
        )

    def _forget(self, at_ms: int) -> None:
        silent = [
            gateway
            for gateway, word in self.words.items()
            if at_ms - word.at_ms >= FORGET_MS
        ]
        for gateway in silent:
            del self.words[gateway]
        named = {name for word in self.words.values() for name in word.uses}
        self.spent = {n: v for n, v in self.spent.items() if n in named}
