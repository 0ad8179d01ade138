"""Decode which parts of a request's prompt other requests may share."""

import collections.abc

SEPARATOR = ','
TOKENS_SEPARATOR = ':'
MAX_TEXT_CHARS = 4096
MAX_ID_CHARS = 64
MAX_SHARED_PARTS = 16
"""The first parts are shared most; later ones are ignored."""

HEX_DIGITS = frozenset('0123456789abcdef')


def shared_parts(values: collections.abc.Iterable[str]) -> tuple[str, ...]:
    """Return the ids of the parts that others may share, in order.

    The last part belongs to the request itself. Empty if the header is
    missing or malformed: what endpoints make of it is theirs to say.
    """
    text = SEPARATOR.join(values)
    if not text or len(text) > MAX_TEXT_CHARS:
        return ()
    ids = [_part_id(item) for item in text.split(SEPARATOR)]
    if not all(ids):
        return ()
    return tuple(dict.fromkeys(ids[:-1]))[:MAX_SHARED_PARTS]


def _part_id(item: str) -> str:
    """Return the id of an ID:TOKENS pair in lower case; empty if invalid."""
    part_id, _, tokens = item.strip().lower().partition(TOKENS_SEPARATOR)
    if not (tokens.isascii() and tokens.isdigit()):
        return ''
    if len(part_id) > MAX_ID_CHARS or not HEX_DIGITS.issuperset(part_id):
        return ''
    return part_id
