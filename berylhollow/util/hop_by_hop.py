"""Hop-by-hop headers, which are never forwarded."""

import collections.abc

HEADERS = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)


def headers_named_by(values: collections.abc.Iterable[str]) -> set[str]:
    """Return the lowercase header names in values of ``Connection``."""
    tokens = ','.join(values).lower().split(',')
    return {token.strip() for token in tokens}
