"""The listening end of links."""

import logging

from websockets.asyncio import server

from berylhollow.link import _codec
from berylhollow.link import _connection
from berylhollow.link import _flusher
from berylhollow.link import _handshake
from berylhollow.link import _link
from berylhollow.link import _reason

LOG = logging.getLogger(__name__)


class LinkServer:
    """Accept links from peers that hold the key.

    ``links`` holds those that are up or still authenticating. ``refused``
    counts the connections that failed to authenticate, which are not
    reported to the handler.
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
        self.codec = codec or _codec.shared_codec()
        self.options = options or _link.Options()
        self.flusher = _flusher.Flusher(self.options.flush_delay_ms)
        self.links: set[_link.Link] = set()
        self.refused = 0
        self._server = None
        self._stop_reason: _reason.Reason | None = None

    async def start(self) -> None:
        """Start to listen and set ``port`` to the port in use.

        Raises OSError if the address can't be bound.
        """
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
            create_connection=_connection.ServerConnection,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self, reason=_reason.Reason.LEAVING) -> None:
        """Stop listening, close every link and wait for them to end."""
        self._stop_reason = reason
        for link in tuple(self.links):
            link.close(reason)
        self._server.close(close_connections=False)
        await self._server.wait_closed()

    async def _serve(self, connection):
        address = connection.remote_address
        link = _link.Link(
            address, self.codec, self.handler, self.options, self.flusher
        )
        self.links.add(link)
        if self._stop_reason is not None:
            # This connection was accepted after ``stop`` had closed the
            # others. If it came up, ``stop`` would wait for it until its
            # time limit.
            link.close(self._stop_reason)
        handshake = _handshake.ServerHandshake(self.key, self.identity)
        try:
            await link.run(connection, handshake)
        finally:
            self.links.discard(link)
            if link.peer is None:
                self.refused += 1
            else:
                link.report_down(_reason.Reason.LOST)
