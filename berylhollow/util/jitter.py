"""Deterministic jitter, which spreads simultaneous actions over time."""

import hashlib

DIGEST_BYTES = 4


def fraction(seed: float, name: str) -> float:
    """Return a number in [0, 1) derived from a seed in [0, 1) and a name."""
    digest = hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES).digest()
    name_fraction = int.from_bytes(digest) / 2 ** (8 * DIGEST_BYTES)
    return (seed + name_fraction) % 1.0
