"""Rendezvous hashing: an order of endpoints for a key that all agree on.

An endpoint that comes or goes moves only the keys that it wins or held.
"""

import collections.abc
import hashlib
import heapq

DIGEST_BYTES = 8
MASK = 2**64 - 1
# Odd constants of the splitmix64 finaliser: cheap and well mixed, so that
# scoring a thousand endpoints costs no thousand digests.
MIX_1 = 0xBF58476D1CE4E5B9
MIX_2 = 0x94D049BB133111EB


def digest(text: str) -> int:
    """Return 64 bits of a text, the same in every process."""
    data = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES)
    return int.from_bytes(data.digest(), 'big')


def score(key: int, member: int) -> int:
    """Return the score of a member for a key, both digests."""
    value = key ^ member
    value = ((value ^ (value >> 30)) * MIX_1) & MASK
    value = ((value ^ (value >> 27)) * MIX_2) & MASK
    return value ^ (value >> 31)


def highest(key: str, members: collections.abc.Iterable[str]) -> str | None:
    """Return the member that a key belongs to, None if there is none."""
    wanted = digest(key)
    return max(
        members,
        key=lambda name: (score(wanted, digest(name)), name),
        default=None,
    )


def top(
    key: int, members: collections.abc.Mapping[str, int], count: int
) -> list[str]:
    """Return the first ``count`` members in the order of a key.

    ``members`` maps each name to its digest.
    """
    return heapq.nlargest(
        count, members, key=lambda name: (score(key, members[name]), name)
    )
