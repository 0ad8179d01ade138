"""Why a link went down: one closed list, also used as close codes."""

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
    """The peer did not take what was queued for it."""
    HANDLER = 4022
    """Our own handler failed on a message: a defect."""
    CONNECT = 4030
    """No connection came about."""
    LOST = 4031
    """The connection broke without a word."""
    SILENT = 4032
    """The peer stopped answering keepalive pings."""


def of_closed(error: exceptions.ConnectionClosed) -> Reason:
    """Return why a connection closed that we did not mean to close."""
    if error.rcvd is not None:
        return from_close_code(error.rcvd.code)
    if error.sent is None:
        return Reason.LOST
    if error.sent.code == _INTERNAL_CODE:
        # The library closes with this code when a ping went unanswered.
        return Reason.SILENT
    return from_close_code(error.sent.code)


def from_close_code(code: int) -> Reason:
    """Return what a received close code says, LOST for an unknown one."""
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
