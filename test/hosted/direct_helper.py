"""Runs the direct calls of a gateway against endpoints on free ports."""

import asyncio
import contextlib
import socket
import struct
import unittest

from berylhollow.gateway import _direct_runs
from berylhollow import messages
from berylhollow import outgoing
from berylhollow import platform
from berylhollow import shell
from berylhollow.standin import _http
from berylhollow.standin import direct_endpoint
from test import builders

ENDPOINT = 'i-1'
REQUEST_ID = messages.Header('Request-Id', 'id-1')
HANG_S = 30
CHECK = b'GET /healthz '
RESET = struct.pack('ii', 1, 0)


class RawEndpoint:
    """Answers every request with given bytes, then closes or resets.

    ``pause_s`` is the time between the bytes and the reset. One that ``ends``
    closes its port and all its connections, as a process does that crashes;
    one that ``stops_listening`` only its port.
    One that ``hangs`` answers nothing. Without ``closes`` it keeps its
    connection open after the bytes. It answers health checks unless it is
    ``mute``, and keeps their connections open unless ``keeps`` is not set;
    ``checks`` counts them. ``answering`` are the connections that carry an
    answer.
    """

    keeps = True
    mute = False
    check_pause_s = 0.0
    stops_listening = False

    def __init__(
        self,
        answer,
        reset=False,
        pause_s=0.0,
        ends=False,
        hangs=False,
        closes=True,
    ):
        self.answer = answer
        self.reset = reset
        self.pause_s = pause_s
        self.ends = ends
        self.hangs = hangs
        self.closes = closes
        self.received = b''
        self.connections = 0
        self.checks = 0
        self.writers = []
        self.answering = []
        self.arrived = asyncio.Event()
        self.server = None

    @property
    def waiting(self):
        """The connections that carry no answer."""
        return [x for x in self.writers if x not in self.answering]

    def end(self):
        """Close the port and all connections, as a process that ends."""
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def answer_check(self, writer):
        """Answer a health check."""
        self.checks += 1
        if self.mute:
            return
        await asyncio.sleep(self.check_pause_s)
        end = b'' if self.keeps else b'Connection: close\r\n'
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n%b\r\n' % end)
        if not self.keeps:
            writer.close()

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            while head.startswith(CHECK):
                await self.answer_check(writer)
                head = await reader.readuntil(b'\r\n\r\n')
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.transport.abort()
            return
        self.received = head
        self.answering.append(writer)
        self.arrived.set()
        if self.hangs:
            with contextlib.suppress(ConnectionError):
                await reader.read()
            return
        writer.write(self.answer)
        await writer.drain()
        if self.ends:
            self.end()
        if self.stops_listening:
            self.server.close()
        if self.reset:
            await asyncio.sleep(self.pause_s)
            accepted = writer.get_extra_info('socket')
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()
        elif self.closes:
            writer.close()
        else:
            with contextlib.suppress(ConnectionError):
                await reader.read()


class EndlessEndpoint(RawEndpoint):
    """Goes on with the same bytes after its answer, until it is closed.

    ``gap_s`` is the pause between them, ``gone`` is set at the end.
    """

    def __init__(self, answer, more, gap_s=0.0):
        super().__init__(answer)
        self.more = more
        self.gap_s = gap_s
        self.gone = asyncio.Event()

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self.answer)
            while True:
                writer.write(self.more)
                await writer.drain()
                await asyncio.sleep(self.gap_s)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.transport.abort()
        finally:
            self.gone.set()


class SlowEndpoint(RawEndpoint):
    """Answers after ``wait_s``."""

    def __init__(self, answer, wait_s):
        super().__init__(answer)
        self.wait_s = wait_s

    async def serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        await asyncio.sleep(self.wait_s)
        writer.write(self.answer)
        writer.close()


class KeepingEndpoint(RawEndpoint):
    """Answers one request after the other on each connection.

    ``connections`` counts those that carried one.
    """

    async def serve(self, reader, writer):
        requests = 0
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                requests += 1
                self.connections += requests == 1
                writer.write(self.answer)
        writer.close()


class DirectTestCase(unittest.IsolatedAsyncioTestCase):
    """Sends offers through ``self.runs`` to the endpoint ``self.address``."""

    async def asyncSetUp(self):
        self.told = asyncio.Queue()
        self.outlived = asyncio.Queue()
        self.notices = []
        self.counts = []
        self.leaving = False
        self.removed_in_ms = None
        self.software_version = ''
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.tasks = shell.Tasks()
        calls = platform.EndpointClient(outgoing.open_session())
        self.runs = _direct_runs.DirectRuns(calls, self, self.tasks)
        self.stack.push_async_callback(self.runs.close)
        self.stack.push_async_callback(self.tasks.stop)

    async def begin(self):
        self.endpoint = direct_endpoint.DirectEndpoint(ENDPOINT)
        self.endpoint.models = {'m': {'a3': 1}}
        application = _http.web.Application()
        self.endpoint.add_to(application)
        listening = _http.listening(application, '127.0.0.1', 0)
        port = await self.stack.enter_async_context(listening)
        self.address = f'127.0.0.1:{port}'

    async def restart(self, endpoint, next_start):
        """End an endpoint; its next start listens at its port at once."""
        port = endpoint.server.sockets[0].getsockname()[1]
        endpoint.end()
        await self.listen(next_start, port)

    async def begin_raw(self, answer, reset=False, pause_s=0.0):
        self.raw = RawEndpoint(answer, reset, pause_s)
        await self.listen(self.raw)

    async def listen(self, endpoint, port=0):
        server = await asyncio.start_server(endpoint.serve, '127.0.0.1', port)
        endpoint.server = server
        self.stack.callback(server.close)
        port = server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def offer(self, number=1, **changes):
        values = {
            'adapter': None,
            'host': 'h.example',
            'path': '/a/%2Fb?c=d',
            'headers': (REQUEST_ID,),
        }
        return builders.offer(f'r{number}.1', **(values | changes))

    def send_offer(self, **changes):
        self.runs.handle_message(ENDPOINT, self.offer(**changes))

    async def next_message(self):
        async with asyncio.timeout(HANG_S):
            return await self.told.get()

    async def messages_to_end(self):
        """Return the messages up to the end of the attempt."""
        told = [await self.next_message()]
        while not isinstance(told[-1], messages.End | messages.Failed):
            told.append(await self.next_message())
        return told

    # Methods that the runs call on their owner.

    def message(self, peer, message):
        self.told.put_nowait(message)

    def notice_received(self, peer, sent_ms, notice):
        self.notices.append(notice)

    def endpoint_outlived(self, peer, since_ms, until_ms):
        self.outlived.put_nowait((peer, since_ms, until_ms))

    def now_ms(self):
        return 0

    def count(self, name, value, attributes):
        self.counts.append((name, dict(attributes)))

    def check_path(self, service):
        return '/healthz'

    def listed_instance(self, name):
        return builders.instance(
            name,
            address=self.address,
            direct=True,
            leaving=self.leaving,
            removed_in_ms=self.removed_in_ms,
            software_version=self.software_version,
        )
