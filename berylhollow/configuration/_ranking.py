"""Who does what for the fleet, each process for itself, from a list.

The lists that processes hold differ, so two may believe that a task is
theirs, or none. Every task given out here is harmless when it is done twice,
and done by another after a while when it is not done at all.
"""

import bisect
import collections.abc
import hashlib

RANK_BYTES = 8
# More places a name spread the keys more evenly.
PLACES = 8


def rank(task: str, name: str) -> bytes:
    """Return the place of a name among those that may do a task."""
    digest = hashlib.blake2b(digest_size=RANK_BYTES)
    digest.update(f'{task}\0{name}'.encode())
    return digest.digest()


def chosen(
    task: str, names: collections.abc.Iterable[str], count: int
) -> list[str]:
    """Return the first few names for a task, by rendezvous hashing."""
    return sorted(names, key=lambda name: rank(task, name))[:count]


def share(task: str, name: str) -> float:
    """Return a number in [0, 1) that is the name's own for a task."""
    return int.from_bytes(rank(task, name), 'big') / 2 ** (8 * RANK_BYTES)


class Ring:
    """Names on a ring, to give many keys an owner at little cost.

    Rendezvous hashing of 10,000 sidecars over 1,900 gateways would take
    seconds on each gateway; a search on the ring takes a microsecond.
    """

    def __init__(self):
        self.names: frozenset[str] = frozenset()
        self.places: list[tuple[bytes, str]] = []

    def update(self, names: collections.abc.Iterable[str]) -> None:
        """Take names on and off; only those that changed cost anything."""
        wanted = frozenset(names)
        gone = self.names - wanted
        if gone:
            self.places = [x for x in self.places if x[1] not in gone]
        new = [
            (rank(f'ring-{number}', name), name)
            for name in wanted - self.names
            for number in range(PLACES)
        ]
        if new:
            self.places = sorted(self.places + new)
        self.names = wanted

    def owners(self, key: str, count: int) -> list[str]:
        """Return the first few names that follow the key on the ring."""
        wanted = min(count, len(self.names))
        place = bisect.bisect(self.places, (rank('key', key), ''))
        found: list[str] = []
        while len(found) < wanted:
            name = self.places[place % len(self.places)][1]
            if name not in found:
                found.append(name)
            place += 1
        return found
