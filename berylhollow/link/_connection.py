"""Websocket connections that hand frames over without a task in between.

The library delivers frames through a queue to a task that waits, and sends
from a coroutine. For one token a frame, as when a gateway's streams come
from as many sidecars, that costs more than the frame itself. These classes
take frames from the library's protocol as it reads them and write at once;
opening, keepalive and closing stay the library's.
"""

import typing

from websockets.asyncio import client
from websockets.asyncio import server
from websockets import frames
from websockets import protocol

EARLY_FRAMES = 2
"""Frames kept for a receiver that is not attached yet; more are refused."""


class Receiver(typing.Protocol):
    """What a connection reports to; called from the event loop."""

    def frame(self, data: bytes) -> None:
        """Take the payload of one frame, empty if it is not binary."""

    def flush(self) -> None:
        """Learn that writing may go on after ``paused``."""

    def lost(self) -> None:
        """Learn that the connection is closed."""


class _Direct:
    """Mixed into the library's connections; see the module."""

    receiver: Receiver | None = None
    early: list[bytes] | None = None

    def attach(self, receiver: Receiver) -> None:
        """Hand frames to ``receiver`` from now on, early ones first."""
        self.receiver = receiver
        early = self.early or []
        self.early = None
        for data in early:
            receiver.frame(data)
        if self.protocol.state is protocol.CLOSED:
            receiver.lost()

    def transmit(self, data: bytes) -> None:
        """Write one binary frame; nothing happens on a closed connection."""
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
        whole = event.fin and event.opcode is frames.Opcode.BINARY
        data = event.data if whole else b''
        if self.receiver is not None:
            self.receiver.frame(data)
        else:
            self._keep(data)

    def resume_writing(self) -> None:
        super().resume_writing()
        if self.receiver is not None:
            self.receiver.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        if self.receiver is not None:
            self.receiver.lost()

    def _keep(self, data: bytes):
        # A peer may answer before our task runs again; one that floods us
        # then has not proved itself and must not fill our memory.
        self.early = self.early or []
        if len(self.early) == EARLY_FRAMES:
            self.transport.abort()
            return
        self.early.append(data)


class ClientConnection(_Direct, client.ClientConnection):
    """The connecting end."""


class ServerConnection(_Direct, server.ServerConnection):
    """The accepting end."""
