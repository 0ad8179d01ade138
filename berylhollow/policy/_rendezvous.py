"""Rendezvous hashing: every process ranks members alike for a key.

A member that joins or leaves moves only the keys that it gains or had.
"""

import collections.abc
import heapq

from berylhollow.util import digests

MASK_64 = 2**64 - 1
# Multipliers of the splitmix64 finaliser. It mixes well and is cheap: scoring
# a thousand endpoints does not need a thousand cryptographic digests.
MULTIPLIER_1 = 0xBF58476D1CE4E5B9
MULTIPLIER_2 = 0x94D049BB133111EB


def digest(text: str) -> int:
    """Return a 64-bit hash of a text, the same in every process."""
    return digests.number(text.encode())


def score(key: int, member: int) -> int:
    """Return the score of a member for a key, both given as digests."""
    value = key ^ member
    value = ((value ^ (value >> 30)) * MULTIPLIER_1) & MASK_64
    value = ((value ^ (value >> 27)) * MULTIPLIER_2) & MASK_64
    return value ^ (value >> 31)


def highest(key: str, members: collections.abc.Iterable[str]) -> str | None:
    """Return the member with the highest score for a key.

    None if there are no members.
    """
    key_digest = digest(key)
    return max(
        members,
        key=lambda name: (score(key_digest, digest(name)), name),
        default=None,
    )


def top(
    key: int, members: collections.abc.Mapping[str, int], count: int
) -> list[str]:
    """Return the ``count`` members with the highest scores, best first.

    ``key`` is a digest; ``members`` maps each name to its digest.
    """
    return heapq.nlargest(
        count, members, key=lambda name: (score(key, members[name]), name)
    )
