"""A fraction for each name, so that the same moment differs for many."""

import hashlib

DIGEST_BYTES = 4


def fraction(seed: float, name: str) -> float:
    """Return a number in [0, 1) from a seed in [0, 1) and a name."""
    digest = hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES).digest()
    own = int.from_bytes(digest) / 2 ** (8 * DIGEST_BYTES)
    return (seed + own) % 1.0
