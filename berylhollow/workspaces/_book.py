"""What all gateways together have used of each quota: added up beside them.

A book lends nothing and decides nothing. Any process that all gateways have a
link to can keep one, and as many may as like: each adds up what it is told.
"""

import collections
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
    """The last word of one gateway; ``counts`` while its demand does."""

    incarnation: str
    uses: dict[str, Use]
    at_ms: int
    counts: bool = True


class Book:
    """Sums of what gateways tell; a pure machine.

    What a gateway spent before its first word here is not counted: it may
    have been running for long. The sums are kept word by word, as gateways
    tell several times a second each; ``words`` has the latest last.
    """

    def __init__(self):
        self.words: dict[str, _Word] = {}
        self.spent: dict[str, int] = {}
        self.asked: collections.Counter[str] = collections.Counter()
        self.askers: collections.Counter[str] = collections.Counter()

    def tell(
        self,
        gateway: str,
        incarnation: str,
        uses: tuple[Use, ...],
        at_ms: int,
    ) -> tuple[Sum, ...]:
        """Take a gateway's word and return the sums as they are now."""
        self._lapse(at_ms)
        before = self.words.pop(gateway, None)
        known = {}
        if before is not None:
            self._end_demand(before)
            if before.incarnation == incarnation:
                known = before.uses
        word = _Word(incarnation, {x.workspace: x for x in uses}, at_ms)
        for name, use in word.uses.items():
            spent = self.spent.setdefault(name, 0)
            if name in known:
                self.spent[name] = spent + use.spent - known[name].spent
        self.words[gateway] = word
        self._count(word, 1)
        return tuple(map(self._sum, uses))

    def _sum(self, own: Use) -> Sum:
        name = own.workspace
        return Sum(
            name,
            self.spent[name],
            self.asked[name],
            own.spent,
            own.asked_per_s,
            self.askers[name],
        )

    def _lapse(self, at_ms: int) -> None:
        """End the demand of gateways that fell silent, then forget them."""
        forgotten = []
        for gateway, word in self.words.items():
            silent_ms = at_ms - word.at_ms
            if silent_ms < ASKED_MS:
                break
            self._end_demand(word)
            if silent_ms >= FORGET_MS:
                forgotten.append(gateway)
        for gateway in forgotten:
            del self.words[gateway]

    def _end_demand(self, word: _Word) -> None:
        if word.counts:
            word.counts = False
            self._count(word, -1)

    def _count(self, word: _Word, sign: int) -> None:
        for name, use in word.uses.items():
            self.asked[name] += sign * use.asked_per_s
            self.askers[name] += sign * (use.asked_per_s > 0)
