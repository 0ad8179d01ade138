"""Digests that are the same in every process."""

import collections.abc
import hashlib

NUMBER_BYTES = 8


def number(data: bytes) -> int:
    """Return a 64-bit hash of bytes."""
    digest = hashlib.blake2b(data, digest_size=NUMBER_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def of_parts(parts: collections.abc.Iterable[bytes], size_bytes: int):
    """Return a hash object of parts, to which a last part may be added.

    Each part is prefixed with its length, so that different parts never have
    the same digest input.
    """
    digest = hashlib.blake2b(digest_size=size_bytes)
    for part in parts:
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return digest
