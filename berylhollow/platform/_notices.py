"""What endpoints say of themselves in the headers of their answers."""

import collections.abc
import math
import re

from berylhollow import clock
from berylhollow import events

LEAVING = 'Server-Leaving'
PAUSE = 'Retry-After'
RATE_LIMIT = 'Server-Limit'

TURNED_AWAY = 503
LARGEST_RATE_PER_S = 1e6
LONGEST_PAUSE_S = 24 * 60 * 60
_DECIMAL = re.compile(r'[0-9]{1,12}(\.[0-9]{1,12})?')


class _MalformedError(ValueError):
    """A header that means nothing."""


def decode(status: int, headers) -> events.EndpointNotice:
    """Return what the head of an answer says of the endpoint itself.

    A header that is not understood says nothing and is named.
    """
    malformed: list[str] = []
    pause_s = None
    if status == TURNED_AWAY:
        pause_s = _read(headers, PAUSE, _pause_s, malformed)
    return events.EndpointNotice(
        leaving=_read(headers, LEAVING, _flag, malformed) is not None,
        rate_per_s=_read(headers, RATE_LIMIT, _rate, malformed),
        pause_ms=math.ceil((pause_s or 0) * clock.MS_PER_SECOND),
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


def _pause_s(text: str) -> float:
    pause_s = _decimal(text)
    if pause_s > LONGEST_PAUSE_S:
        raise _MalformedError
    return pause_s


def _decimal(text: str) -> float:
    if _DECIMAL.fullmatch(text) is None:
        raise _MalformedError
    return float(text)
