"""Consistent hashing: every process finds the same members for a key.

Unlike rendezvous hashing it takes a binary search and not a pass over all
members. A member that joins or leaves moves only the keys beside it.
"""

import bisect
import collections.abc

from berylhollow.util import digests


class HashRing:
    """A fixed set of members, in the order of their digests."""

    def __init__(self, members: collections.abc.Iterable[str]):
        ordered = sorted(
            (digests.number(name.encode()), name) for name in members
        )
        self.points = [position for position, _ in ordered]
        self.members = tuple(name for _, name in ordered)

    def first(self, key: bytes, count: int) -> tuple[str, ...]:
        """Return the first ``count`` members after a key, nearest first."""
        start = bisect.bisect_right(self.points, digests.number(key))
        total = len(self.members)
        return tuple(
            self.members[(start + step) % total]
            for step in range(min(count, total))
        )
