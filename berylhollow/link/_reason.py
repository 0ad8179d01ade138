"""Reasons why a link went down, which are also websocket close codes."""

import enum

from websockets import exceptions

_PRIVATE_CODES = range(4000, 5000)
_NORMAL_CODE = 1000
_TOO_BIG_CODE = 1009
_INTERNAL_CODE = 1011


class Reason(enum.IntEnum):
    """Why a link went down; the value is the close code on the wire."""

    CLOSED = 4000
    """Closed on purpose by either end."""
    LEAVING = 4001
    """The process at one end is shutting down."""
    REPLACED = 4002
    """A newer link to the same peer took over."""
    AUTHENTICATION = 4010
    """The peer did not prove that it holds the key."""
    HANDSHAKE_TIMEOUT = 4011
    """The peer did not finish the handshake in time."""
    MALFORMED = 4020
    """What the peer sent does not fit the declared messages."""
    OVERFLOW = 4021
    """The send queue overflowed because the peer read too slowly."""
    HANDLER = 4022
    """Our own handler raised an exception, which is a defect."""
    CONNECT = 4030
    """No connection could be opened."""
    LOST = 4031
    """The connection broke without a close frame."""
    SILENT = 4032
    """The peer stopped answering keepalive pings."""


def from_connection_closed(error: exceptions.ConnectionClosed) -> Reason:
    """Return why a connection closed without a request of this end."""
    if error.rcvd is not None:
        return from_close_code(error.rcvd.code)
    if error.sent is None:
        return Reason.LOST
    if error.sent.code == _INTERNAL_CODE:
        # The library closes with this code when a ping went unanswered.
        return Reason.SILENT
    return from_close_code(error.sent.code)


def from_close_code(code: int) -> Reason:
    """Return the reason that a close code stands for.

    An unknown code of the private range means CLOSED, any other unknown
    one LOST.
    """
    if code == _NORMAL_CODE:
        return Reason.CLOSED
    if code == _TOO_BIG_CODE:
        return Reason.MALFORMED
    if code not in _PRIVATE_CODES:
        return Reason.LOST
    try:
        return Reason(code)
    except ValueError:
        return Reason.CLOSED
