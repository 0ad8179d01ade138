"""Websocket connections that deliver frames by a direct callback.

The library delivers frames through a queue to a waiting task, and sends
from a coroutine. With one token per frame, as when each stream of a gateway
comes from another sidecar, that costs more than the frame itself. These
classes deliver frames as the library's protocol parses them, and write at
once. The library still opens, keeps alive and closes the connections.
"""

import typing

from websockets.asyncio import client
from websockets.asyncio import server
from websockets import frames
from websockets import protocol

MAXIMUM_EARLY_FRAMES = 2
"""Frames buffered until a receiver is attached.

A peer that sends more is disconnected.
"""


class Receiver(typing.Protocol):
    """Callbacks of a connection, called from the event loop."""

    def frame_received(self, data: bytes) -> None:
        """Handle the payload of a frame, empty if it is not binary."""

    def flush(self) -> None:
        """Resume writing after the connection was ``paused``."""

    def connection_closed(self) -> None:
        """Handle the end of the connection."""


class _DirectDelivery:
    """Mixin for the library's connections that bypasses its queue."""

    receiver: Receiver | None = None
    early_frames: list[bytes] | None = None

    def attach(self, receiver: Receiver) -> None:
        """Deliver frames to ``receiver``, beginning with the buffered ones."""
        self.receiver = receiver
        early_frames = self.early_frames or []
        self.early_frames = None
        for data in early_frames:
            receiver.frame_received(data)
        if self.protocol.state is protocol.CLOSED:
            receiver.connection_closed()

    def transmit(self, data: bytes) -> None:
        """Write a binary frame, or do nothing if the connection is closed."""
        if self.protocol.state is not protocol.OPEN:
            return
        self.protocol.send_binary(data)
        try:
            self.send_data()
        except OSError:
            self.transport.abort()

    def process_event(self, event) -> None:
        is_frame = type(event) is frames.Frame
        if not is_frame or event.opcode not in frames.DATA_OPCODES:
            super().process_event(event)
            return
        is_whole = event.fin and event.opcode is frames.Opcode.BINARY
        data = event.data if is_whole else b''
        if self.receiver is not None:
            self.receiver.frame_received(data)
        else:
            self._buffer(data)

    def resume_writing(self) -> None:
        super().resume_writing()
        if self.receiver is not None:
            self.receiver.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        if self.receiver is not None:
            self.receiver.connection_closed()

    def _buffer(self, data: bytes):
        # A peer may send before the owner's task attaches the receiver. It
        # has not authenticated yet, so the buffer must stay small.
        self.early_frames = self.early_frames or []
        if len(self.early_frames) == MAXIMUM_EARLY_FRAMES:
            self.transport.abort()
            return
        self.early_frames.append(data)


class ClientConnection(_DirectDelivery, client.ClientConnection):
    """The connecting end."""


class ServerConnection(_DirectDelivery, server.ServerConnection):
    """The accepting end."""
