"""Decide whether what arrived is the head of an answer in HTTP.

Everything that reads answers relies on this: the HTTP library takes heads for
valid that HTTP does not allow. Sources: RFC 9110 and RFC 9112.
"""

from aiohttp import http_parser

INTERIM_STATUSES = range(100, 200)
STATUSES = range(100, 600)
"""RFC 9110, section 15: other values are invalid."""

SWITCHING_PROTOCOLS = 101
"""Only sent to a client that asks for another protocol. Nothing here does."""


def received_fault(message: http_parser.RawResponseMessage) -> str:
    """Return what is wrong with a head that was received, '' if nothing."""
    return _status_fault(message.code)


def _status_fault(status: int) -> str:
    if status not in STATUSES:
        return f'status {status:03} is outside 100 to 599'
    if status == SWITCHING_PROTOCOLS:
        return 'status 101 without a request for another protocol'
    return ''
