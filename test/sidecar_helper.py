"""Test doubles for the sidecar's shell: endpoint, outbox and control."""

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
EVENT_STREAM = HEAD + (
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
)
LAST_CHUNK = b'0\r\n\r\n'


def chunk(data):
    """Return data in chunked transfer coding."""
    return b'%x\r\n%b\r\n' % (len(data), data)


class ScriptedEndpoint:
    """Server that answers each request by a script.

    ``script(reader, writer)`` is awaited once a request head has been read.
    The connection is reset after it, unless the script closed it. ``heads``
    records the request heads.
    """

    def __init__(self, script):
        self.script = script
        self.heads = []
        self.handlers = set()
        self.writers = []
        self.url = ''
        self.server = None

    @contextlib.asynccontextmanager
    async def listening(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.url = f'http://127.0.0.1:{port}'
        try:
            yield self
        finally:
            self.server.close()
            await asyncio.gather(*self.handlers)

    def end(self):
        """Close the port and all connections, as a process that ends."""
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def serve(self, reader, writer):
        self.handlers.add(asyncio.current_task())
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            self.heads.append(await reader.readuntil(b'\r\n\r\n'))
            await self.script(reader, writer)
        writer.transport.abort()


class RecordingOutbox:
    """Outbox that records all messages and may report congestion."""

    def __init__(self):
        self.sent = []
        self.reports_congestion = False

    def send(self, peer, message):
        self.sent.append((peer, message))

    def is_congested(self, peer):
        return self.reports_congestion

    def linked(self, peer):
        return True

    def payload(self):
        """Return all body bytes sent so far."""
        return b''.join(
            message.payload
            for _, message in self.sent
            if isinstance(message, messages.Data)
        )


class ScriptedControl:
    """Control that answers cancels with given results, repeating the last."""

    def __init__(self, *results):
        self.results = list(results) or [True]
        self.cancel_calls = 0
        self.load_error = None

    async def cancel(self, attempt_id):
        self.cancel_calls += 1
        result = self.results[0]
        if len(self.results) > 1:
            self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    async def load(self, order):
        raise self.load_error


class RunTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case for runs at a scripted endpoint.

    ``fed_events`` holds the events fed to the reducer. While ``accepting`` is
    true, every response head is accepted, as the reducer would do.
    """

    engine = True

    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.fed_events = []
        self.changed = asyncio.Event()
        self.accepting = True
        self.outbox = RecordingOutbox()
        self.control = ScriptedControl()

    async def begin(self, script):
        """Start a scripted endpoint and the ``RunCalls`` connected to it."""
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
        self.fed_events.append(event)
        self.changed.set()
        if isinstance(event, events.RunStarted) and self.accepting:
            self.calls.accept(event.attempt_id)

    async def wait_for_event(self, event_type):
        """Wait for an event of a type and return the first one."""
        while True:
            for event in self.fed_events:
                if isinstance(event, event_type):
                    return event
            self.changed.clear()
            await self.changed.wait()

    async def wait_until(self, condition):
        """Poll until ``condition()`` holds, for changes without an event."""
        while not condition():
            await asyncio.sleep(0.001)

    def start(self, attempt_id='r1.1', **changes):
        offer = builders.offer(attempt_id, **changes)
        self.calls.start(effects.StartRun(attempt_id, offer, 'epoch-1', 'g1'))

    def event_types(self):
        return [type(event) for event in self.fed_events]


async def unreachable_url():
    """Return the URL of a port on which no server listens."""
    server = await asyncio.start_server(lambda r, w: None, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return f'http://127.0.0.1:{port}'


LOST_ANSWER = outgoing.CallOutcomeUnknown('lost')
