"""Decode the status notices in the headers of endpoints' responses."""

import collections.abc
import math
import re

from berylhollow import clock
from berylhollow import events

LEAVING_HEADER = 'Server-Leaving'
PAUSE_HEADER = 'Retry-After'
RATE_LIMIT_HEADER = 'Server-Limit'

UNAVAILABLE_STATUS = 503
MAX_RATE_PER_S = 1e6
MAX_PAUSE_S = 24 * 60 * 60
_DECIMAL = re.compile(r'[0-9]{1,12}(\.[0-9]{1,12})?')


class _MalformedError(ValueError):
    """A header has an invalid value."""


def decode(status: int, headers) -> events.EndpointNotice:
    """Return the endpoint's notice about itself from a response's head.

    An invalid header is ignored and listed in ``malformed``.
    """
    malformed: list[str] = []
    pause_s = None
    if status == UNAVAILABLE_STATUS:
        pause_s = _read_header(
            headers, PAUSE_HEADER, _parse_pause_s, malformed
        )
    return events.EndpointNotice(
        leaving=_read_header(headers, LEAVING_HEADER, _parse_flag, malformed)
        is not None,
        rate_per_s=_read_header(
            headers, RATE_LIMIT_HEADER, _parse_rate, malformed
        ),
        pause_ms=math.ceil((pause_s or 0) * clock.MS_PER_SECOND),
        malformed=tuple(malformed),
    )


def _read_header(
    headers,
    name: str,
    parse: collections.abc.Callable[[str], float],
    malformed: list[str],
) -> float | None:
    values = headers.getall(name, ())
    if not values:
        return None
    try:
        if len(values) > 1:
            raise _MalformedError
        return parse(values[0].strip())
    except _MalformedError:
        malformed.append(f'{name}: {", ".join(values)}'[:100])
        return None


def _parse_flag(text: str) -> float:
    if text != '1':
        raise _MalformedError
    return 1.0


def _parse_rate(text: str) -> float:
    rate_per_s = _parse_decimal(text)
    if rate_per_s > MAX_RATE_PER_S:
        raise _MalformedError
    return rate_per_s


def _parse_pause_s(text: str) -> float:
    pause_s = _parse_decimal(text)
    if pause_s > MAX_PAUSE_S:
        raise _MalformedError
    return pause_s


def _parse_decimal(text: str) -> float:
    if _DECIMAL.fullmatch(text) is None:
        raise _MalformedError
    return float(text)
