"""An authenticated connection between two of our processes."""

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
    """Limits of a link: times in milliseconds, sizes in bytes."""

    flush_delay_ms: float = 0
    """How long a message may wait for others to share its frame."""
    flush_bytes: int = 64 * 1024
    """A frame is sent at once when this many bytes are queued."""
    congested_bytes: int = 1024 * 1024
    """The link is congested while more bytes than this are queued."""
    overflow_bytes: int = 8 * 1024 * 1024
    """The link is closed when more bytes than this are queued."""
    maximum_bytes: int = 4 * 1024 * 1024
    """Largest frame accepted from a peer, and largest message sent."""
    handshake_timeout_ms: int = 2000
    """Time limit for connecting, and again for authenticating."""
    close_timeout_ms: int = 2000
    """How long a closing link may take to flush its queue."""
    ping_interval_ms: int = 5000
    """Time between keepalive pings."""
    ping_timeout_ms: int = 5000
    """The link goes down when a ping is unanswered for this long."""

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
    """Callbacks to the owner of links; none of them may block."""

    def link_up(self, link: 'Link') -> None:
        """Handle a link whose peer has authenticated."""

    def message(self, link: 'Link', message: typing.Any) -> None:
        """Handle a message from the peer."""

    def link_down(self, link: 'Link', reason: _reason.Reason) -> None:
        """Handle the end of a link; called once, also if it never was up."""


class Link:
    """One end of a connection.

    ``peer`` identifies the other end and is None until it has
    authenticated; ``address`` is its network address. ``is_up`` tells whether
    the link has authenticated and not failed; ``reason`` is set once it is
    closing. ``sent_messages``, ``sent_frames``, ``received_messages`` and
    ``received_frames`` are counters.
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
        self.is_up = False
        self.reason: _reason.Reason | None = None
        self.queued_bytes = 0
        self.sent_messages = 0
        self.sent_frames = 0
        self.received_messages = 0
        self.received_frames = 0
        self._queued_parts: list[bytes] = []
        self._maximum_message_bytes = (
            options.maximum_bytes - _codec.LIST_OVERHEAD_BYTES
        )
        self._maximum_frame_bytes = min(
            options.flush_bytes, self._maximum_message_bytes
        )
        self._connection = None
        self._handshake = None
        self._flusher = flusher
        self._flush_due = False
        self._handshake_timer = None
        self._close_requested: asyncio.Future | None = None

    @property
    def is_congested(self) -> bool:
        """Whether more than ``congested_bytes`` are queued."""
        return self.queued_bytes > self.options.congested_bytes

    def send(self, message: typing.Any) -> bool:
        """Queue a message and return whether the link accepted it.

        Raises ValueError for a message that is larger than the peer
        accepts, and TypeError for one whose class has no tag.
        """
        if not self.is_up or self.reason is not None:
            return False
        part = self.codec.encode(message)
        if len(part) > self._maximum_message_bytes:
            raise ValueError(f'message of {len(part)} bytes is too large')
        self._queued_parts.append(part)
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
        """Request to flush the queue and then close the connection.

        The connection is aborted if the peer does not read the rest within
        ``close_timeout_ms``.
        """
        if self.reason is None:
            self.reason = reason
        if (
            self._close_requested is not None
            and not self._close_requested.done()
        ):
            self._close_requested.set_result(None)

    def abort(self, reason: _reason.Reason) -> None:
        """Close at once and drop the queue.

        The backlog of a stalled peer would otherwise grow until this
        process runs out of memory. The protocols above send again on a new
        link what was dropped.
        """
        self.close(reason)
        self._queued_parts.clear()
        self.queued_bytes = 0
        if self._connection is not None:
            self._connection.transport.abort()

    async def run(self, connection, handshake) -> None:
        """Authenticate and exchange messages until the link is closed.

        The owner must call ``report_down`` afterwards.
        """
        loop = asyncio.get_running_loop()
        self._connection = connection
        self._handshake = handshake
        self._close_requested = loop.create_future()
        # A single timeout covers the whole handshake, so that a peer without
        # the key can't hold memory for longer by sending slowly.
        self._handshake_timer = loop.call_later(
            self.options.handshake_timeout,
            self._fail,
            _reason.Reason.HANDSHAKE_TIMEOUT,
        )
        first_message = handshake.begin()
        if first_message is not None:
            connection.transmit(first_message)
        connection.attach(self)
        if self.reason is None:
            await self._close_requested
        self._cancel_handshake_timer()
        await self._flush_and_close()

    def report_down(self, reason: _reason.Reason) -> None:
        """Drop the queue and call ``link_down`` of the handler.

        ``reason`` applies only if none was set before.
        """
        if self.reason is None:
            self.reason = reason
        self.is_up = False
        self._queued_parts.clear()
        self.queued_bytes = 0
        self._call_handler(self.handler.link_down, self, self.reason)

    def frame_received(self, data: bytes) -> None:
        """Process a frame from the connection."""
        if self.is_up:
            self._receive(data)
        elif self._handshake is not None and self.reason is None:
            self._authenticate(data)

    def flush(self) -> None:
        """Write queued messages until the connection pauses writing."""
        self._flush_due = False
        if self.reason is not None:
            return
        while self._queued_parts and not self._connection.paused:
            self._connection.transmit(self._next_frame())

    def connection_closed(self) -> None:
        """Close the link after its connection was closed."""
        self.is_up = False
        self.close(_reason.from_connection_closed(self._connection.close_exc))

    def _authenticate(self, data: bytes):
        try:
            answer = self._handshake.receive(data)
        except _handshake.HandshakeError as error:
            LOG.warning('peer %s: %s', self.address, error)
            self._fail(_reason.Reason.AUTHENTICATION)
            return
        if self._handshake.has_sent_all:
            # The frame size is limited strictly until the peer has
            # authenticated. Its last handshake message may arrive in one read
            # with larger frames, so the limit is raised before that read.
            limit = self.options.maximum_bytes
            self._connection.protocol.max_message_size = limit
        if answer is not None:
            self._connection.transmit(answer)
        if self._handshake.peer is not None:
            self._mark_up(self._handshake.peer)

    def _mark_up(self, peer: _handshake.Identity):
        self._handshake = None
        self._cancel_handshake_timer()
        self.peer = peer
        self.is_up = True
        self._call_handler(self.handler.link_up, self)

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
            if self.is_up:
                self._call_handler(self.handler.message, self, message)

    def _call_handler(self, callback, *arguments):
        # An exception from the handler closes only this link, because the
        # process serves many other peers.
        try:
            callback(*arguments)
        except Exception:
            LOG.exception('link to %s: handler failed', self.peer)
            self._fail(_reason.Reason.HANDLER)

    def _fail(self, reason: _reason.Reason):
        """Close the link and ignore further frames from the peer."""
        self.is_up = False
        self.close(reason)

    def _cancel_handshake_timer(self):
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()
            self._handshake_timer = None

    def _next_frame(self) -> bytes:
        """Remove queued messages and return them as one frame."""
        self.sent_frames += 1
        if self.queued_bytes > self._maximum_frame_bytes:
            return _codec.encode_list(self._next_parts())
        data = _codec.encode_list(self._queued_parts)
        self._queued_parts.clear()
        self.queued_bytes = 0
        return data

    def _next_parts(self) -> list[bytes]:
        """Remove and return the queued messages that fit into a frame."""
        size = len(self._queued_parts[0])
        count = 1
        for part in itertools.islice(self._queued_parts, 1, None):
            if size + len(part) > self._maximum_frame_bytes:
                break
            size += len(part)
            count += 1
        parts = self._queued_parts[:count]
        del self._queued_parts[:count]
        self.queued_bytes -= size
        return parts

    async def _flush_and_close(self):
        try:
            async with asyncio.timeout(self.options.close_timeout):
                while self._queued_parts:
                    await self._connection.send(self._next_frame())
                await self._connection.close(self.reason)
        except (exceptions.ConnectionClosed, TimeoutError):
            self._connection.transport.abort()
