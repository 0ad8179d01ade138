"""One authenticated connection between two of our processes."""

import asyncio
import dataclasses
import itertools
import logging
import typing

from websockets import exceptions

from berylhollow.link import _codec
from berylhollow.link import _flusher
from berylhollow.link import _handshake
from berylhollow.link import _reason

LOG = logging.getLogger(__name__)

MILLISECONDS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Bounds of a link: times in milliseconds, sizes in bytes."""

    flush_delay_ms: float = 0
    """How long a message may wait for others to share a frame with."""
    flush_bytes: int = 64 * 1024
    """A frame is sent at once when this much is queued."""
    congested_bytes: int = 1024 * 1024
    """Above this much queued the link reports that it is congested."""
    overflow_bytes: int = 8 * 1024 * 1024
    """Above this much queued the link is closed."""
    maximum_bytes: int = 4 * 1024 * 1024
    """Largest frame taken from a peer, and largest message sent."""
    handshake_timeout_ms: int = 2000
    """Each of connecting and authenticating must end within this time."""
    close_timeout_ms: int = 2000
    """How long a closing link may flush what is queued."""
    ping_interval_ms: int = 5000
    """Time between keepalive pings."""
    ping_timeout_ms: int = 5000
    """A ping unanswered for this long takes the link down."""

    @property
    def handshake_timeout(self) -> float:
        """``handshake_timeout_ms`` in seconds."""
        return self.handshake_timeout_ms / MILLISECONDS

    @property
    def close_timeout(self) -> float:
        """``close_timeout_ms`` in seconds."""
        return self.close_timeout_ms / MILLISECONDS

    @property
    def ping_interval(self) -> float:
        """``ping_interval_ms`` in seconds."""
        return self.ping_interval_ms / MILLISECONDS

    @property
    def ping_timeout(self) -> float:
        """``ping_timeout_ms`` in seconds."""
        return self.ping_timeout_ms / MILLISECONDS


class Handler(typing.Protocol):
    """What the owner of links is told; none of these may block."""

    def link_up(self, link: 'Link') -> None:
        """Take a link whose peer has proved itself."""

    def message(self, link: 'Link', message: typing.Any) -> None:
        """Take one message of the peer."""

    def link_down(self, link: 'Link', reason: _reason.Reason) -> None:
        """Take the end of a link; called once, also if it never was up."""


class Link:
    """One end of a connection.

    ``peer`` names the other end and is None until it has proved itself;
    ``address`` is where the connection leads. ``up`` tells whether messages
    may be sent, ``reason`` why they no longer may. ``sent_messages``,
    ``sent_frames``, ``received_messages`` and ``received_frames`` count.
    """

    def __init__(
        self,
        address: tuple,
        codec: _codec.Codec,
        handler: Handler,
        options: Options,
        flusher: _flusher.Flusher,
    ):
        self.address = address
        self.codec = codec
        self.handler = handler
        self.options = options
        self.peer: _handshake.Identity | None = None
        self.up = False
        self.reason: _reason.Reason | None = None
        self.queued_bytes = 0
        self.sent_messages = 0
        self.sent_frames = 0
        self.received_messages = 0
        self.received_frames = 0
        self._parts: list[bytes] = []
        self._message_bytes = options.maximum_bytes - _codec.JOIN_BYTES
        self._frame_bytes = min(options.flush_bytes, self._message_bytes)
        self._connection = None
        self._handshake = None
        self._flusher = flusher
        self._flush_due = False
        self._timer = None
        self._ending: asyncio.Future | None = None

    @property
    def congested(self) -> bool:
        """Whether more is queued than the peer takes for now."""
        return self.queued_bytes > self.options.congested_bytes

    def send(self, message: typing.Any) -> bool:
        """Queue a message without blocking; False if the link is not up.

        Raises ValueError for a message that is larger than the peer takes,
        and TypeError for one without a tag.
        """
        if not self.up or self.reason is not None:
            return False
        part = self.codec.encode(message)
        if len(part) > self._message_bytes:
            raise ValueError(f'message of {len(part)} bytes is too large')
        self._parts.append(part)
        self.queued_bytes += len(part)
        self.sent_messages += 1
        if self.queued_bytes > self.options.overflow_bytes:
            self.abort(_reason.Reason.OVERFLOW)
            return False
        if self.queued_bytes >= self.options.flush_bytes:
            self.flush()
        elif not self._flush_due:
            self._flush_due = True
            self._flusher.add(self)
        return True

    def close(self, reason: _reason.Reason = _reason.Reason.CLOSED) -> None:
        """Send what is queued, then close; the handler is told at the end.

        A peer that does not take the rest within ``close_timeout_ms`` is cut
        off.
        """
        if self.reason is None:
            self.reason = reason
        if self._ending is not None and not self._ending.done():
            self._ending.set_result(None)

    def abort(self, reason: _reason.Reason) -> None:
        """Close at once and drop what is queued.

        A stalled peer would otherwise make this process hold its backlog
        until memory runs out; nothing is lost that the protocols above do
        not send again on a new link.
        """
        self.close(reason)
        self._parts.clear()
        self.queued_bytes = 0
        if self._connection is not None:
            self._connection.transport.abort()

    async def run(self, connection, handshake) -> None:
        """Authenticate and carry messages until the connection is closed.

        The owner then has to call ``down``.
        """
        loop = asyncio.get_running_loop()
        self._connection = connection
        self._handshake = handshake
        self._ending = loop.create_future()
        # A connection without the key must not hold memory for long, however
        # slowly it sends: one timeout spans the whole handshake.
        self._timer = loop.call_later(
            self.options.handshake_timeout,
            self._fail,
            _reason.Reason.HANDSHAKE_TIMEOUT,
        )
        greeting = handshake.begin()
        if greeting is not None:
            connection.transmit(greeting)
        connection.attach(self)
        if self.reason is None:
            await self._ending
        self._stop_timer()
        await self._finish()

    def down(self, reason: _reason.Reason) -> None:
        """Report the end; ``reason`` counts if none is known yet."""
        if self.reason is None:
            self.reason = reason
        self.up = False
        self._parts.clear()
        self.queued_bytes = 0
        self._tell(self.handler.link_down, self, self.reason)

    def frame(self, data: bytes) -> None:
        """Take a frame from the connection."""
        if self.up:
            self._receive(data)
        elif self._handshake is not None and self.reason is None:
            self._authenticate(data)

    def flush(self) -> None:
        """Write what is queued, as far as the connection takes it."""
        self._flush_due = False
        if self.reason is not None:
            return
        while self._parts and not self._connection.paused:
            self._connection.transmit(self._take())

    def lost(self) -> None:
        """Learn from the connection that it is closed."""
        self.up = False
        self.close(_reason.of_closed(self._connection.close_exc))

    def _authenticate(self, data: bytes):
        try:
            answer = self._handshake.receive(data)
        except _handshake.HandshakeError as error:
            LOG.warning('peer %s: %s', self.address, error)
            self._fail(_reason.Reason.AUTHENTICATION)
            return
        if self._handshake.spoken:
            # Frames stay small until the peer has proved itself. The other
            # end may send more along with its last proof, in one read, so
            # the limit is lifted before that arrives.
            limit = self.options.maximum_bytes
            self._connection.protocol.max_message_size = limit
        if answer is not None:
            self._connection.transmit(answer)
        if self._handshake.peer is not None:
            self._begin(self._handshake.peer)

    def _begin(self, peer: _handshake.Identity):
        self._handshake = None
        self._stop_timer()
        self.peer = peer
        self.up = True
        self._tell(self.handler.link_up, self)

    def _receive(self, data: bytes):
        try:
            messages = self.codec.decode(data)
        except _codec.CodecError as error:
            LOG.warning('link to %s: %s', self.peer, error)
            self._fail(_reason.Reason.MALFORMED)
            return
        self.received_frames += 1
        self.received_messages += len(messages)
        for message in messages:
            if self.up:
                self._tell(self.handler.message, self, message)

    def _tell(self, callback, *arguments):
        # A defect in the handling of one message must not end the process,
        # which serves many other peers: only this link goes.
        try:
            callback(*arguments)
        except Exception:
            LOG.exception('link to %s: handler failed', self.peer)
            self._fail(_reason.Reason.HANDLER)

    def _fail(self, reason: _reason.Reason):
        """Take nothing more from the peer, and close."""
        self.up = False
        self.close(reason)

    def _stop_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _take(self) -> bytes:
        """Return the next frame, of queued messages that share it."""
        self.sent_frames += 1
        if self.queued_bytes > self._frame_bytes:
            return _codec.join(self._take_some())
        data = _codec.join(self._parts)
        self._parts.clear()
        self.queued_bytes = 0
        return data

    def _take_some(self) -> list[bytes]:
        size = len(self._parts[0])
        count = 1
        for part in itertools.islice(self._parts, 1, None):
            if size + len(part) > self._frame_bytes:
                break
            size += len(part)
            count += 1
        taken = self._parts[:count]
        del self._parts[:count]
        self.queued_bytes -= size
        return taken

    async def _finish(self):
        try:
            async with asyncio.timeout(self.options.close_timeout):
                while self._parts:
                    await self._connection.send(self._take())
                await self._connection.close(self.reason)
        except (exceptions.ConnectionClosed, TimeoutError):
            self._connection.transport.abort()
