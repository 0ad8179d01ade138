"""What endpoints say of themselves in the headers of their answers."""

import collections.abc
import re

from berylhollow import events

LEAVING = 'Server-Leaving'
RATE_LIMIT = 'Server-Limit'

LARGEST_RATE_PER_S = 1e6
_DECIMAL = re.compile(r'[0-9]{1,12}(\.[0-9]{1,12})?')


class _MalformedError(ValueError):
    """A header that means nothing."""


def decode(headers) -> events.EndpointNotice:
    """Return what the headers of an answer say of the endpoint itself.

    A header that is not understood says nothing and is named.
    """
    malformed: list[str] = []
    return events.EndpointNotice(
        leaving=_read(headers, LEAVING, _flag, malformed) is not None,
        rate_per_s=_read(headers, RATE_LIMIT, _rate, malformed),
        malformed=tuple(malformed),
    )


def _read(
    headers,
    name: str,
    convert: collections.abc.Callable[[str], float],
    malformed: list[str],
) -> float | None:
    values = headers.getall(name, ())
    if not values:
        return None
    try:
        if len(values) > 1:
            raise _MalformedError
        return convert(values[0].strip())
    except _MalformedError:
        malformed.append(f'{name}: {", ".join(values)}'[:100])
        return None


def _flag(text: str) -> float:
    if text != '1':
        raise _MalformedError
    return 1.0


def _rate(text: str) -> float:
    rate_per_s = _decimal(text)
    if rate_per_s > LARGEST_RATE_PER_S:
        raise _MalformedError
    return rate_per_s


def _decimal(text: str) -> float:
    if _DECIMAL.fullmatch(text) is None:
        raise _MalformedError
    return float(text)
