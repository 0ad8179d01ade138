"""A loopback proxy that delays, silences, cuts and resets connections."""

import asyncio
import contextlib
import enum
import socket
import struct

CHUNK_BYTES = 65_536
RESET = struct.pack('ii', 1, 0)


class Mode(enum.Enum):
    """What becomes of the bytes on a proxy's connections.

    ``SILENT`` keeps them back both ways and takes no new connection,
    ``DEAF`` keeps back only what the target answers, ``NARROW`` lets all
    connections together have ``NARROW_BYTES_PER_S`` of answers.
    """

    OPEN = 'open'
    SLOW = 'slow'
    SILENT = 'silent'
    DEAF = 'deaf'
    NARROW = 'narrow'


SLOW_S = 0.3
NARROW_BYTES_PER_S = 150_000
NARROW_CHUNK_BYTES = 4096


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Have a connection reset when it is closed."""
    opened = transport.get_extra_info('socket')
    if opened is not None:
        with contextlib.suppress(OSError):
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


class Proxy:
    """Pass connections to a port on to a target."""

    def __init__(self, host: str, port: int, target: tuple[str, int]):
        self.host = host
        self.port = port
        self.target = target
        self.mode = Mode.OPEN
        self.changed = asyncio.Event()
        self.turn = asyncio.Lock()
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(
            self._connected, self.host, self.port
        )

    @property
    def is_listening(self) -> bool:
        """Whether connections are accepted."""
        return self.server is not None and self.server.is_serving()

    def switch(self, mode: Mode) -> None:
        """Change what becomes of bytes from now on."""
        self.mode = mode
        self.changed.set()
        self.changed = asyncio.Event()

    def reset(self) -> None:
        """Reset all connections; new ones work."""
        for writer in self.writers:
            reset_on_close(writer.transport)
            writer.transport.abort()

    def stop_listening(self) -> None:
        """Refuse connections, as the port of a process that has ended."""
        self.server.close()

    async def close(self) -> None:
        self.server.close()
        self.reset()
        for task in self.tasks:
            task.cancel()

    async def _connected(self, reader, writer) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            writer.transport.abort()
        finally:
            self.tasks.discard(task)

    async def _serve(self, reader, writer) -> None:
        await self._wait_while(Mode.SILENT)
        there, back = await asyncio.open_connection(*self.target)
        ends = {writer, back}
        self.writers |= ends
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pass(reader, back, {Mode.SILENT}))
                group.create_task(
                    self._pass(there, writer, {Mode.SILENT, Mode.DEAF})
                )
        except* ConnectionResetError:
            for end in ends:
                reset_on_close(end.transport)
        except* OSError:
            pass
        finally:
            self.writers -= ends
            for end in ends:
                end.transport.abort()

    async def _pass(self, source, sink, held_back: set[Mode]) -> None:
        while data := await source.read(CHUNK_BYTES):
            await self._wait_while(*held_back)
            if self.mode is Mode.SLOW:
                await asyncio.sleep(SLOW_S)
            if self.mode is Mode.NARROW and Mode.DEAF in held_back:
                await self._write_in_turns(data, sink)
                continue
            sink.write(data)
            await sink.drain()
        if sink.can_write_eof():
            sink.write_eof()

    async def _write_in_turns(self, data: bytes, sink) -> None:
        for start in range(0, len(data), NARROW_CHUNK_BYTES):
            chunk = data[start : start + NARROW_CHUNK_BYTES]
            async with self.turn:
                await asyncio.sleep(len(chunk) / NARROW_BYTES_PER_S)
            sink.write(chunk)
            await sink.drain()

    async def _wait_while(self, *modes: Mode) -> None:
        while self.mode in modes:
            await self.changed.wait()
