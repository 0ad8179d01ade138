"""Tests of outgoing calls and of what their errors say."""

import asyncio
import gc
import os
import socket
import struct
import threading
import unittest

import aiohttp

from berylhollow import answer_body
from berylhollow import endpoint
from berylhollow import messages
from berylhollow import outgoing
from berylhollow.util import loop
from test import event_streams

RESET = struct.pack('ii', 1, 0)
TRUNCATED_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf'
COMPLETE_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
BARE_503 = b'HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy'
CODED_503 = (
    b'HTTP/1.1 503 Busy\r\nContent-Length: 23\r\n\r\n{"error":"unavailable"}'
)


class RecordingServer:
    """Reads each request's head, sends a fixed answer and closes.

    One that ``ends`` closes its port and all its connections; ``reset`` ends
    the connection. ``connections`` counts those that carried a request.
    """

    def __init__(
        self,
        script: bytes = b'',
        keep_open: bool = False,
        reset: bool = False,
        ends: bool = False,
    ):
        self.script = script
        self.keep_open = keep_open
        self.reset = reset
        self.ends = ends
        self.heads: list[bytes] = []
        self.connections = 0
        self.writers = []
        self.server = None

    async def serve(self, reader, writer):
        self.writers.append(writer)
        requests = 0
        try:
            while True:
                self.heads.append(await reader.readuntil(b'\r\n\r\n'))
                requests += 1
                self.connections += requests == 1
                writer.write(self.script)
                await writer.drain()
                if not self.keep_open:
                    break
        except (asyncio.IncompleteReadError, ConnectionResetError):
            pass
        finally:
            if self.ends and requests:
                self.server.close()
                for other in self.writers:
                    other.close()
            if self.reset:
                accepted = writer.get_extra_info('socket')
                accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.close()

    async def start(self, case) -> str:
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        case.addCleanup(self.server.close)
        return f'http://127.0.0.1:{self.server.sockets[0].getsockname()[1]}/x'


class OutgoingTest(unittest.IsolatedAsyncioTestCase):
    async def session(self, reuse=True):
        session = outgoing.open_session(reuse)
        self.addAsyncCleanup(session.close)
        return session

    async def call(self, server, method='PUT'):
        url = await server.start(self)
        return await outgoing.call(await self.session(), method, url)

    async def test_call_is_never_sent_twice(self):
        """Guards against a PUT that runs twice.

        If an endpoint runs a PUT and crashes before it answers, aiohttp takes
        the method for idempotent and sends the request again.
        """
        for method in ('GET', 'PUT', 'DELETE', 'POST'):
            with self.subTest(method):
                server = RecordingServer()
                with self.assertRaises(outgoing.CallOutcomeUnknown):
                    await self.call(server, method)
                self.assertEqual(len(server.heads), 1)

    async def test_plain_session_sends_twice(self):
        """Shows that aiohttp repeats a PUT unless the session prevents it."""
        server = RecordingServer()
        url = await server.start(self)
        async with aiohttp.ClientSession() as session:
            with self.assertRaises(aiohttp.ServerDisconnectedError):
                await session.put(url)
        self.assertEqual(len(server.heads), 2)

    async def test_unsent_call_is_not_done(self):
        server = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        with self.assertRaises(outgoing.CallNotSent):
            await outgoing.call(
                await self.session(), 'POST', f'http://127.0.0.1:{port}/'
            )

    async def test_partial_answer_is_maybe_done(self):
        with self.assertRaises(outgoing.CallOutcomeUnknown):
            await self.call(RecordingServer(TRUNCATED_ANSWER))

    async def test_body_that_never_ends_is_not_kept(self):
        """Guards against an answer that takes all of a process's memory."""
        chunk = b'1000\r\n' + b'x' * 4096 + b'\r\n'
        head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        server = RecordingServer(head + 100 * chunk, keep_open=True)
        url = await server.start(self)
        with self.assertRaisesRegex(outgoing.CallOutcomeUnknown, 'over 65536'):
            await outgoing.call(
                await self.session(), 'GET', url, limit_bytes=65536
            )

    async def test_timeout_is_maybe_done(self):
        url = await RecordingServer(keep_open=True).start(self)
        with self.assertRaises(outgoing.CallOutcomeUnknown):
            await outgoing.call(
                await self.session(), 'POST', url, timeout_ms=20
            )

    async def test_refusal_needs_the_servers_own_code(self):
        with self.assertRaises(outgoing.CallOutcomeUnknown):
            await self.call(RecordingServer(BARE_503))
        with self.assertRaises(outgoing.CallRefused) as caught:
            await self.call(RecordingServer(CODED_503))
        self.assertEqual(caught.exception.kind, 'unavailable')

    async def test_redirect_is_not_followed(self):
        server = RecordingServer(
            b'HTTP/1.1 307 Moved\r\nLocation: /y\r\nContent-Length: 0\r\n\r\n'
        )
        with self.assertRaises(outgoing.CallOutcomeUnknown):
            await self.call(server, 'POST')
        self.assertEqual(len(server.heads), 1)


class EndpointClientTest(unittest.IsolatedAsyncioTestCase):
    async def open_twice(self, idempotent):
        server = RecordingServer(COMPLETE_ANSWER, keep_open=True)
        url = await server.start(self)
        client = endpoint.EndpointClient(url, engine=False)
        self.addAsyncCleanup(client.close)
        headers = (
            messages.Header('X-Kept', '1'),
            messages.Header('Connection', 'keep-alive'),
            messages.Header('Host', 'caller.example'),
        )
        for _ in range(2):
            answer = await client.open(
                endpoint.EndpointRequest(
                    'PUT', '/', headers, idempotent=idempotent
                )
            )
            self.assertEqual([x async for x in answer.chunks()], [b'ok'])
        return server

    async def test_only_idempotent_requests_reuse_a_connection(self):
        """Guards against needless errors with an unknown outcome.

        An endpoint may close an idle connection just as a request is written
        to it. It is then unknown whether the endpoint read the request.
        """
        self.assertEqual((await self.open_twice(True)).connections, 1)
        self.assertEqual((await self.open_twice(False)).connections, 2)

    async def body_of(self, script, **options):
        url = await RecordingServer(script, **options).start(self)
        client = endpoint.EndpointClient(url, engine=False)
        self.addAsyncCleanup(client.close)
        answer = await client.open(endpoint.EndpointRequest('GET', '/'))
        return b''.join([x async for x in answer.chunks()])

    async def test_truncated_answer_is_maybe_done(self):
        """Guards against a truncated answer that looks complete.

        If only the close of the connection marks the end of an answer, a
        crash half-way looks the same as its end, but the port closes too.
        """
        for head, options in (
            (b'Content-Length: 9\r\n', {}),
            (b'Transfer-Encoding: chunked\r\n', {}),
            (b'', {'reset': True}),
            (b'', {'ends': True}),
        ):
            with self.subTest(head, **options):
                script = b'HTTP/1.1 200 OK\r\n' + head + b'\r\n4\r\nhalf'
                with self.assertRaises(outgoing.CallOutcomeUnknown):
                    await self.body_of(script, **options)

    async def test_event_stream_cut_inside_an_event_is_maybe_done(self):
        """Guards against a truncated stream that looks complete."""
        for name, framing, answer in event_streams.framed(event_streams.CUT):
            with (
                self.subTest(name, framing=framing),
                self.assertRaises(answer_body.BodyTruncated),
            ):
                await self.body_of(answer)

    async def test_complete_answer_without_a_length_is_served(self):
        """Guards against whole answers that are given up for their framing."""
        script = b'HTTP/1.1 200 OK\r\n\r\nall of it'
        self.assertEqual(b'all of it', await self.body_of(script))
        answers = event_streams.answers(event_streams.EVENT)
        for framing, answer in answers.items():
            with self.subTest(framing):
                body = await self.body_of(answer)
                self.assertEqual(event_streams.EVENT, body)

    async def test_only_end_to_end_headers_are_forwarded(self):
        head = (await self.open_twice(True)).heads[0]
        self.assertIn(b'X-Kept: 1\r\n', head)
        for name in (b'keep-alive', b'caller.example', b'Accept-Encoding'):
            self.assertNotIn(name, head)


class SilentServer:
    """Accepts connections and reads nothing unless a test does."""

    def __init__(self):
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.url = f'http://127.0.0.1:{self.listener.getsockname()[1]}/x'

    def accept(self) -> socket.socket:
        """Return the next connection once a byte has arrived on it."""
        connection, _ = self.listener.accept()
        connection.recv(1, socket.MSG_PEEK)
        return connection

    def close(self) -> None:
        self.listener.close()


def read_until_close(connection: socket.socket) -> None:
    """Read until the peer closes; raises if it resets the connection."""
    with connection:
        while connection.recv(4096):
            pass


class BrokenOffCallTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that arrive after their caller has left.

    During a network outage a caller gives up. If its connection is only
    closed, the kernel delivers the buffered request once the network is back,
    and the endpoint runs a request that nobody waits for.
    """

    async def begin(self) -> tuple[asyncio.Task, socket.socket]:
        session = outgoing.open_session()
        self.addAsyncCleanup(session.close)
        server = SilentServer()
        self.addCleanup(server.close)
        call = asyncio.create_task(
            outgoing.open_call(session, 'POST', server.url, data=b'body')
        )
        return call, await asyncio.to_thread(server.accept)

    async def test_cancelled_call_resets_its_connection(self):
        call, connection = await self.begin()
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        with self.assertRaises(ConnectionResetError):
            await asyncio.to_thread(read_until_close, connection)

    async def test_silent_connection_times_out(self):
        """Guards against reused connections that are silent without an error.

        Every request on such a connection failed although the endpoint
        answered on new ones.
        """
        opened = outgoing.open_socket(
            outgoing.BUFFER_BYTES,
            (socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP),
        )
        with opened:
            self.assertEqual(
                outgoing.PEER_TIMEOUT_MS,
                opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
            )
            self.assertTrue(
                opened.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            )


class LastBytesServer(threading.Thread):
    """Sends a head, then the last bytes together with a close or reset."""

    def __init__(self, reset):
        super().__init__(daemon=True)
        self.reset = reset
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.port = self.listener.getsockname()[1]
        self.first_bytes_read = threading.Event()
        self.ended = threading.Event()

    def run(self):
        accepted, _ = self.listener.accept()
        accepted.recv(65536)
        accepted.sendall(b'HTTP/1.1 200 OK\r\n\r\nfirst')
        self.first_bytes_read.wait()
        accepted.sendall(b'last')
        if self.reset:
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        accepted.close()
        self.ended.set()
        self.listener.close()


class LastBytesTest(unittest.TestCase):
    async def read(self, server):
        """Let the last bytes and the end arrive in one loop iteration."""
        session = outgoing.open_session()
        url = f'http://127.0.0.1:{server.port}/'
        response = await outgoing.open_call(session, 'GET', url)
        await response.content.readany()
        server.first_bytes_read.set()
        server.ended.wait()
        rest = b''
        try:
            rest = await outgoing.read_body(response)
        except outgoing.CallOutcomeUnknown:
            return True, rest
        finally:
            await session.close()
        return response.was_reset, rest

    def read_from_server(self, reset):
        server = LastBytesServer(reset)
        server.start()
        with asyncio.Runner(loop_factory=loop.new_event_loop) as runner:
            return runner.run(self.read(server))

    def test_reset_with_the_last_bytes_is_an_error(self):
        """Guards against a truncated answer that looks complete.

        If an endpoint crashes right after it sent some bytes, the program's
        event loop sees the reset together with the bytes and reports a plain
        end. An answer without a length then looked complete.
        """
        self.assertTrue(self.read_from_server(reset=True)[0])

    def test_reset_body_without_a_length_is_not_read(self):
        """Guards against a truncated answer of the store, a list or an order.

        Such a body was returned like a whole one.
        """

        async def read():
            server = LastBytesServer(reset=True)
            server.start()
            server.first_bytes_read.set()
            async with outgoing.open_session() as session:
                url = f'http://127.0.0.1:{server.port}/'
                response = await outgoing.open_call(session, 'GET', url)
                server.ended.wait()
                with self.assertRaises(outgoing.CallOutcomeUnknown):
                    await outgoing.read_body(response)

        with asyncio.Runner(loop_factory=loop.new_event_loop) as runner:
            runner.run(read())

    def test_close_with_the_last_bytes_is_an_end(self):
        self.assertEqual((False, b'last'), self.read_from_server(reset=False))


class CancelledConnectTest(unittest.TestCase):
    """Guards against answers that reach the caller of another request.

    A call was cancelled while the loop took its socket. The descriptor was
    closed twice, the second time as that of another connection.
    """

    MOST_TURNS = 20
    TIMES = 4
    OPENED = 6

    async def closed_by_others(self, turns, url):
        """Cancel a call after some turns of the loop.

        Returns the descriptors that were opened since and are closed.
        """
        async with outgoing.open_session() as session:
            call = asyncio.create_task(outgoing.open_call(session, 'GET', url))
            for _ in range(turns):
                await asyncio.sleep(0)
            call.cancel()
            opened = []
            for _ in range(self.OPENED):
                await asyncio.sleep(0)
                opened.append(socket.socket())
            await asyncio.gather(call, return_exceptions=True)
            del call
        gc.collect()
        return [x.detach() for x in opened if not is_open_and_closed(x)]

    async def check(self):
        server = SilentServer()
        try:
            for turns in self.TIMES * [*range(self.MOST_TURNS)]:
                with self.subTest(turns):
                    closed = await self.closed_by_others(turns, server.url)
                    self.assertEqual([], closed)
        finally:
            server.close()

    def test_cancelled_connect_closes_its_own_descriptor_only(self):
        with asyncio.Runner(loop_factory=loop.new_event_loop) as runner:
            runner.run(self.check())


def is_open_and_closed(opened: socket.socket) -> bool:
    """Return whether a socket was open, and close it."""
    try:
        os.fstat(opened.fileno())
    except OSError:
        return False
    opened.close()
    return True
