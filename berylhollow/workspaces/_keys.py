"""Callers' keys, of which only digests are kept."""

import collections.abc
import hashlib
import secrets

DIGEST_BYTES = 32
LONGEST_KEY = 512
"""In characters; a longer key is none."""

_SALT = secrets.token_bytes(hashlib.blake2b.MAX_KEY_SIZE)
"""Of this process: its digests tell nobody else anything."""


def digest(key: str) -> bytes:
    """Return the digest by which this process knows a key."""
    data = key.encode(errors='surrogateescape')
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES, key=_SALT).digest()


def credential(values: collections.abc.Sequence[str]) -> bytes | None:
    """Return the digest of the one key in a header's values.

    None if there is not exactly one, or it can be no key.
    """
    if len(values) != 1 or not 1 <= len(values[0]) <= LONGEST_KEY:
        return None
    return digest(values[0])
