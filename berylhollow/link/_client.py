"""The connecting end of a link."""

import asyncio
import logging

from websockets.asyncio import client
from websockets import exceptions

from berylhollow.link import _codec
from berylhollow.link import _connection
from berylhollow.link import _flusher
from berylhollow.link import _handshake
from berylhollow.link import _link
from berylhollow.link import _reason

LOG = logging.getLogger(__name__)


class LinkClient:
    """Connect to a peer once and report the outcome to the handler.

    A failed attempt is reported by ``link_down`` for a ``link`` that never
    was up; the owner decides whether to connect again. The clients of a
    process should share one ``flusher``.
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
        flusher: _flusher.Flusher | None = None,
    ):
        self.host = host
        self.port = port
        self.key = key
        self.identity = identity
        self.options = options or _link.Options()
        codec = codec or _codec.shared_codec()
        flusher = flusher or _flusher.Flusher(self.options.flush_delay_ms)
        self.link = _link.Link(
            (host, port), codec, handler, self.options, flusher
        )
        self.task = None

    def start(self) -> _link.Link:
        """Start to connect without waiting for the result."""
        self.task = asyncio.get_running_loop().create_task(self._run())
        return self.link

    async def wait(self) -> None:
        """Wait until the link is down and its handler has been called."""
        await asyncio.shield(self.task)

    async def _run(self):
        reason = _reason.Reason.CONNECT
        try:
            connection = await self._connect()
            handshake = _handshake.ClientHandshake(self.key, self.identity)
            await self.link.run(connection, handshake)
        except TimeoutError:
            reason = _reason.Reason.HANDSHAKE_TIMEOUT
        except (OSError, exceptions.InvalidHandshake) as error:
            LOG.info('connect to %s: %s', self.link.address, error)
        finally:
            self.link.report_down(reason)

    async def _connect(self):
        options = self.options
        return await client.connect(
            uri(self.host, self.port),
            compression=None,
            proxy=None,
            user_agent_header=None,
            max_size=_handshake.MAXIMUM_BYTES,
            open_timeout=options.handshake_timeout,
            close_timeout=options.close_timeout,
            ping_interval=options.ping_interval,
            ping_timeout=options.ping_timeout,
            create_connection=_connection.ClientConnection,
        )


def uri(host: str, port: int) -> str:
    """Return the websocket URI of an IPv4 or IPv6 host."""
    bracketed = f'[{host}]' if ':' in host else host
    return f'ws://{bracketed}:{port}/'
