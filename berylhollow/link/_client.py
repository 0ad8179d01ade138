"""The end of a link that connects."""

import asyncio
import logging

from websockets.asyncio import client
from websockets import exceptions

from berylhollow.link import _authenticate
from berylhollow.link import _codec
from berylhollow.link import _handshake
from berylhollow.link import _link
from berylhollow.link import _reason
from berylhollow import messages

LOG = logging.getLogger(__name__)


class LinkClient:
    """Connect to a peer once and report how it went.

    Whether to connect again is the owner's decision: a failure is reported
    as ``link_down`` of ``link``, which then never was up. All clients of a
    process should share one ``codec``, which is made from the table of
    messages if none is given.
    """

    def __init__(
        self,
        host: str,
        port: int,
        key: bytes,
        identity: _handshake.Identity,
        handler: _link.Handler,
        options: _link.Options | None = None,
        codec: _codec.Codec | None = None,
    ):
        self.host = host
        self.port = port
        self.key = key
        self.identity = identity
        self.options = options or _link.Options()
        codec = codec or _codec.Codec(messages.TAGS)
        self.link = _link.Link((host, port), codec, handler, self.options)
        self.task = None

    def start(self) -> _link.Link:
        """Begin to connect, without waiting for the result."""
        self.task = asyncio.get_running_loop().create_task(self._run())
        return self.link

    async def wait(self) -> None:
        """Return when the link is down and its handler has been told."""
        await asyncio.shield(self.task)

    async def _run(self):
        try:
            connection = await self._connect()
            peer = await _authenticate.authenticate(
                connection,
                self._exchange(connection),
                self.options.handshake_timeout,
            )
        except _authenticate.RefusedError as error:
            self.link.down(error.reason)
            return
        await self.link.run(connection, peer)

    async def _connect(self):
        options = self.options
        try:
            return await client.connect(
                f'ws://{self.host}:{self.port}/',
                compression=None,
                proxy=None,
                user_agent_header=None,
                max_size=_handshake.MAXIMUM_BYTES,
                open_timeout=options.handshake_timeout,
                close_timeout=options.close_timeout,
                ping_interval=options.ping_interval,
                ping_timeout=options.ping_timeout,
            )
        except TimeoutError:
            reason = _reason.Reason.HANDSHAKE_TIMEOUT
        except (OSError, exceptions.InvalidHandshake) as error:
            LOG.info('connect to %s: %s', self.link.address, error)
            reason = _reason.Reason.CONNECT
        raise _authenticate.RefusedError(reason)

    async def _exchange(self, connection):
        handshake = _handshake.ClientHandshake(self.key, self.identity)
        await connection.send(handshake.hello())
        proof = handshake.prove(await connection.recv(decode=False))
        # Messages may follow the acceptance in the same read, so the limit
        # of the handshake is lifted before it arrives.
        connection.protocol.max_message_size = self.options.maximum_bytes
        await connection.send(proof)
        return handshake.finish(await connection.recv(decode=False))
