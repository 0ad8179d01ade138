"""API keys of callers; only their digests are kept."""

import collections.abc
import hashlib
import secrets

DIGEST_BYTES = 32
MAX_KEY_LENGTH = 512
"""In characters; longer values are rejected."""

_SALT = secrets.token_bytes(hashlib.blake2b.MAX_KEY_SIZE)
"""Random for each process, so that digests are of no use elsewhere."""


def digest(key: str) -> bytes:
    """Return the digest that stands for a key within this process."""
    data = key.encode(errors='surrogateescape')
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES, key=_SALT).digest()


def header_key_digest(values: collections.abc.Sequence[str]) -> bytes | None:
    """Return the digest of the only key in a header's values.

    None if there is not exactly one value, or if its length is invalid.
    """
    if len(values) != 1 or not 1 <= len(values[0]) <= MAX_KEY_LENGTH:
        return None
    return digest(values[0])
