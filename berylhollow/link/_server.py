"""The end of links that listens."""

import logging

from websockets.asyncio import server

from berylhollow.link import _authenticate
from berylhollow.link import _codec
from berylhollow.link import _handshake
from berylhollow.link import _link
from berylhollow.link import _reason
from berylhollow import messages

LOG = logging.getLogger(__name__)


class LinkServer:
    """Accept links from peers that hold the key.

    ``links`` are those that are up; ``refused`` counts the connections that
    did not authenticate, which the handler never hears of.
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
        self.handler = handler
        self.codec = codec or _codec.Codec(messages.TAGS)
        self.options = options or _link.Options()
        self.links: set[_link.Link] = set()
        self.refused = 0
        self.stop_reason: _reason.Reason | None = None
        self._server = None

    async def start(self) -> None:
        """Listen; ``port`` then is the real one. Raises OSError."""
        options = self.options
        self._server = await server.serve(
            self._serve,
            self.host,
            self.port,
            compression=None,
            server_header=None,
            max_size=_handshake.MAXIMUM_BYTES,
            open_timeout=options.handshake_timeout,
            close_timeout=options.close_timeout,
            ping_interval=options.ping_interval,
            ping_timeout=options.ping_timeout,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self, reason=_reason.Reason.LEAVING) -> None:
        """Stop listening, close every link and wait for them to end."""
        self.stop_reason = reason
        for link in tuple(self.links):
            link.close(reason)
        self._server.close(close_connections=False)
        await self._server.wait_closed()

    async def _serve(self, connection):
        # A connection without the key must not hold memory for long or make
        # this process read much: one timeout spans the whole handshake, and
        # frames stay small until it is over.
        try:
            peer = await _authenticate.authenticate(
                connection,
                self._exchange(connection),
                self.options.handshake_timeout,
            )
        except _authenticate.RefusedError:
            self.refused += 1
            return
        address = connection.remote_address
        link = _link.Link(address, self.codec, self.handler, self.options)
        self.links.add(link)
        if self.stop_reason is not None:
            # This peer was still proving itself when the server stopped.
            link.close(self.stop_reason)
        try:
            await link.run(connection, peer)
        finally:
            self.links.discard(link)

    async def _exchange(self, connection):
        handshake = _handshake.ServerHandshake(self.key, self.identity)
        challenge = handshake.challenge(await connection.recv(decode=False))
        await connection.send(challenge)
        accept = handshake.accept(await connection.recv(decode=False))
        connection.protocol.max_message_size = self.options.maximum_bytes
        await connection.send(accept)
        return handshake.peer
