"""Carry out the handshake on a connection, within one time limit."""

import asyncio
import collections.abc
import logging
import typing

from websockets import exceptions

from berylhollow.link import _handshake
from berylhollow.link import _reason

LOG = logging.getLogger(__name__)


class RefusedError(Exception):
    """No link came of a connection; ``reason`` tells why."""

    def __init__(self, reason: _reason.Reason):
        super().__init__(reason.name)
        self.reason = reason


async def authenticate(
    connection,
    exchange: collections.abc.Coroutine[
        typing.Any, typing.Any, _handshake.Identity
    ],
    timeout: float,
) -> _handshake.Identity:
    """Return who the peer is, as proved to ``exchange``.

    Takes at most ``timeout`` seconds, however slowly the peer sends. Raises
    RefusedError after the connection was closed.
    """
    try:
        async with asyncio.timeout(timeout):
            return await exchange
    except TimeoutError:
        reason = _reason.Reason.HANDSHAKE_TIMEOUT
    except _handshake.HandshakeError as error:
        LOG.warning('peer %s: %s', connection.remote_address, error)
        reason = _reason.Reason.AUTHENTICATION
    except exceptions.ConnectionClosed as error:
        reason = _reason.of_closed(error)
    await connection.close(reason)
    raise RefusedError(reason)
