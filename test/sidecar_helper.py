"""Fakes around the sidecar's shell: an endpoint, an outbox, a control."""

import asyncio
import contextlib
import unittest

from berylhollow import clock
from berylhollow import effects
from berylhollow import endpoint
from berylhollow import events
from berylhollow import messages
from berylhollow import outgoing
from berylhollow import shell
from berylhollow.sidecar import _run_calls
from test import builders

HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Engine-Adapter: a1@1\r\nX-Engine-Epoch: epoch-1\r\n'
)
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
EVENTS = HEAD + (
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
)
LAST_CHUNK = b'0\r\n\r\n'


def chunk(data):
    """Return one chunk of a body as it goes over the wire."""
    return b'%x\r\n%b\r\n' % (len(data), data)


class ScriptedEndpoint:
    """Answers every request with what the test sends; ``heads`` records.

    ``script(reader, writer)`` is awaited once a whole request is here. The
    connection is reset after it, unless it was ended by the script.
    """

    def __init__(self, script):
        self.script = script
        self.heads = []
        self.handlers = set()
        self.url = ''

    @contextlib.asynccontextmanager
    async def listening(self):
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        self.url = f'http://127.0.0.1:{port}'
        try:
            yield self
        finally:
            server.close()
            await asyncio.gather(*self.handlers)

    async def serve(self, reader, writer):
        self.handlers.add(asyncio.current_task())
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            self.heads.append(await reader.readuntil(b'\r\n\r\n'))
            await self.script(reader, writer)
        writer.transport.abort()


class RecordingOutbox:
    """Links that take everything, or say that they are congested."""

    def __init__(self):
        self.sent = []
        self.full = False

    def send(self, peer, message):
        self.sent.append((peer, message))

    def congested(self, peer):
        return self.full

    def linked(self, peer):
        return True

    def payload(self):
        """Return what was sent of bodies, put together."""
        return b''.join(
            message.payload
            for _, message in self.sent
            if isinstance(message, messages.Data)
        )


class ScriptedControl:
    """Answers cancels with the given results, the last one for ever."""

    def __init__(self, *results):
        self.results = list(results) or [True]
        self.asked = 0
        self.load_error = None

    async def cancel(self, attempt_id):
        self.asked += 1
        result = self.results[0]
        if len(self.results) > 1:
            self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    async def load(self, order):
        raise self.load_error


class RunTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs at a scripted endpoint; ``fed`` holds the events of the shell.

    ``accepting`` stands for a reducer that accepts every head.
    """

    engine = True

    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.fed = []
        self.changed = asyncio.Event()
        self.accepting = True
        self.outbox = RecordingOutbox()
        self.control = ScriptedControl()

    async def begin(self, script):
        """Serve an endpoint and make the calls that run on it."""
        self.endpoint = ScriptedEndpoint(script)
        await self.stack.enter_async_context(self.endpoint.listening())
        await self.connect(self.endpoint.url)

    async def connect(self, url):
        tasks = shell.Tasks()
        self.calls = _run_calls.RunCalls(
            endpoint.EndpointClient(url, self.engine),
            self.control,
            self.outbox,
            self.feed,
            clock.MonotonicClock(),
            tasks,
        )
        self.stack.push_async_callback(self.calls.close)
        self.stack.push_async_callback(tasks.stop)

    def feed(self, event):
        self.fed.append(event)
        self.changed.set()
        if isinstance(event, events.RunStarted) and self.accepting:
            self.calls.accept(event.attempt_id)

    async def until(self, event_type):
        """Return the first event of a type, once it is there."""
        while True:
            for event in self.fed:
                if isinstance(event, event_type):
                    return event
            self.changed.clear()
            await self.changed.wait()

    async def until_true(self, condition):
        """Return once ``condition()`` holds; for what sends no event."""
        while not condition():
            await asyncio.sleep(0.001)

    def start(self, attempt_id='r1.1', **changes):
        offer = builders.offer(attempt_id, **changes)
        self.calls.start(effects.StartRun(attempt_id, offer, 'epoch-1', 'g1'))

    def types(self):
        return [type(event) for event in self.fed]


async def unreachable():
    """Return the URL of a port on which nobody listens."""
    server = await asyncio.start_server(lambda r, w: None, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return f'http://127.0.0.1:{port}'


LOST = outgoing.MaybeDone('lost')
