"""Processes that a measurement starts, and what the system says of them."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import socket
import subprocess
import sys

HOST = '127.0.0.1'
TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
STOP_S = 15.0
FIRST_PORT = 12_000
LAST_PORT = 32_000
LISTENING_PAUSE_S = 0.05
KEY = 'the key of a measurement'


class Process:
    """A child of ours that listens on ``port``."""

    def __init__(self, name: str, port: int, *arguments: str):
        self.name = name
        self.port = port
        self.child = subprocess.Popen(
            (sys.executable, *arguments),
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    async def listening(self) -> None:
        """Wait until its port is open; raises RuntimeError if it ends."""
        while self.child.poll() is None:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(HOST, self.port)
                writer.close()
                return
            await asyncio.sleep(LISTENING_PAUSE_S)
        raise RuntimeError(f'{self.name} ended before it listened')

    def processor_s(self) -> float:
        """Return the processor time that it has taken."""
        stat = pathlib.Path(f'/proc/{self.child.pid}/stat').read_text()
        fields = stat.rpartition(') ')[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND

    def resident_kib(self, field: str = 'VmRSS') -> int:
        """Return its resident memory, or its peak with ``VmHWM``."""
        status = pathlib.Path(f'/proc/{self.child.pid}/status').read_text()
        for line in status.splitlines():
            if line.startswith(field + ':'):
                return int(line.split()[1])
        raise RuntimeError(f'{self.name} has ended')

    def stop(self) -> None:
        """End it, at once if it does not go by itself."""
        self.child.terminate()
        try:
            self.child.wait(STOP_S)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()


def free_ports(count: int) -> list[int]:
    """Return ports that nobody listens on at this moment.

    They lie below those that the system gives to connections, which would
    otherwise be taken by one before the process that is to listen starts.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as opened, contextlib.suppress(OSError):
            opened.bind((HOST, port))
            if port not in ports:
                ports.append(port)
    return ports


def program(
    name: str, port: int, command: tuple[str, ...], folder: str, values: dict
) -> Process:
    """Start a command of berylhollow with settings."""
    path = pathlib.Path(folder, f'{name}.json')
    path.write_text(json.dumps(values), encoding='utf-8')
    words = ('-m', 'berylhollow', *command, '--settings', str(path))
    return Process(name, port, *words)


def common(name: str, **more) -> dict:
    """Return the settings that every role needs."""
    values = {
        'instance': name,
        'failure_domain': 'sul-a',
        'region': 'sul',
        'link_key': KEY,
    }
    return values | more


class Tap:
    """Passes connections on to a port and counts the bytes of both ways."""

    def __init__(self, port: int):
        self.target = port
        self.port = 0
        self.bytes = 0
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer) -> None:
        try:
            far = await asyncio.open_connection(HOST, self.target)
        except OSError:
            writer.close()
            return
        for source, sink in ((reader, far[1]), (far[0], writer)):
            task = asyncio.create_task(self._pass(source, sink))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _pass(self, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                self.bytes += len(data)
                writer.write(data)
                await writer.drain()
        writer.close()
