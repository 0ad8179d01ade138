"""Assigns tasks to processes by hashing, without coordination.

Each process computes the assignment from its own list of processes. These
lists differ at times, so a task can be assigned to several processes or to
none. Tasks assigned here must therefore be harmless when done twice, and
another process must take over after a while when nobody does them.
"""

import bisect
import collections.abc
import hashlib

RANK_BYTES = 8
# Points of each name on the ring; more points spread keys more evenly.
POINTS_PER_NAME = 8


def rank(task: str, name: str) -> bytes:
    """Return the hash by which names are ordered for a task."""
    digest = hashlib.blake2b(digest_size=RANK_BYTES)
    digest.update(f'{task}\0{name}'.encode())
    return digest.digest()


def choose(
    task: str, names: collections.abc.Iterable[str], count: int
) -> list[str]:
    """Return the ``count`` names that do a task, by rendezvous hashing."""
    return sorted(names, key=lambda name: rank(task, name))[:count]


def fraction_of(task: str, name: str) -> float:
    """Return a number in [0, 1), derived from the task and the name."""
    return int.from_bytes(rank(task, name), 'big') / 2 ** (8 * RANK_BYTES)


class Ring:
    """A consistent hash ring that assigns keys to names.

    Rendezvous hashing of 10,000 sidecars over 1,900 gateways would take
    seconds on each gateway; a look-up on the ring takes a microsecond.
    """

    def __init__(self):
        self.names: frozenset[str] = frozenset()
        self.points: list[tuple[bytes, str]] = []

    def update(self, names: collections.abc.Iterable[str]) -> None:
        """Replace the set of names; unchanged names are not hashed again."""
        wanted = frozenset(names)
        removed = self.names - wanted
        if removed:
            self.points = [
                point for point in self.points if point[1] not in removed
            ]
        added = [
            (rank(f'ring-{number}', name), name)
            for name in wanted - self.names
            for number in range(POINTS_PER_NAME)
        ]
        if added:
            self.points = sorted(self.points + added)
        self.names = wanted

    def owners(self, key: str, count: int) -> list[str]:
        """Return the first ``count`` names after the key on the ring."""
        wanted = min(count, len(self.names))
        index = bisect.bisect(self.points, (rank('key', key), ''))
        found: list[str] = []
        while len(found) < wanted:
            name = self.points[index % len(self.points)][1]
            if name not in found:
                found.append(name)
            index += 1
        return found
