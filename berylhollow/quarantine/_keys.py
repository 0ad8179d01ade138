"""What may crash an endpoint: a whole request, or a part of its prompt.

Both are blamed by a key: the request's fingerprint, or the id of the part.
"""

import collections.abc

PART_PREFIX = 'part:'


def part_key(part_id: str) -> str:
    """Return the key of a part of a prompt."""
    return PART_PREFIX + part_id


def keys(
    fingerprint: str, shared_parts: collections.abc.Iterable[str]
) -> tuple[str, ...]:
    """Return what a request may be blamed by, its fingerprint first."""
    return (fingerprint, *map(part_key, shared_parts))


def is_part(key: str) -> bool:
    """Tell whether a key is that of a part of a prompt."""
    return key.startswith(PART_PREFIX)


def whole_requests(keys: collections.abc.Iterable[str]) -> list[str]:
    """Return the keys of whole requests: there is one for each request."""
    return [key for key in keys if not is_part(key)]
