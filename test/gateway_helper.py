"""A test case with a gateway on free ports and a fake sidecar."""

import asyncio
import json
import unittest

import aiohttp

from berylhollow import events
from berylhollow import gateway
from berylhollow.gateway import _shell
from berylhollow import link as links
from berylhollow import messages
from berylhollow import settings
from test import builders

KEY = 'a link key for the tests'
JSON = {'Content-Type': 'application/json'}
NO_PLATFORM = 'http://127.0.0.1:9'
HANG_S = 30
"""Far above any expected wait, so that a fault fails instead of hanging."""


def gateway_settings(**changes):
    values = {
        'instance': 'g1',
        'failure_domain': 'sul-a',
        'link_key': KEY,
        'platform': {'url': NO_PLATFORM},
        'listen': {'port': 0},
        'peers': {'port': 0},
        'stop_notice_ms': 0,
        'tick_ms': 10,
    }
    return settings.parse(values | changes, 'gateway')


async def until(condition):
    """Return once ``condition()`` holds."""
    async with asyncio.timeout(HANG_S):
        while not condition():
            await asyncio.sleep(0.001)


def raise_defect(state, event):
    """A reducer that always raises an exception."""
    raise RuntimeError('a defect')


class FakeSidecar:
    """Records messages from the gateway; the test sends the frames."""

    def __init__(self, name='e1', incarnation='i1'):
        self.name = name
        self.links = []
        self.received = asyncio.Queue()
        self.link_down_count = 0
        self.server = links.LinkServer(
            '127.0.0.1',
            0,
            KEY.encode(),
            links.Identity(name, 'endpoint', incarnation),
            self,
        )

    def link_up(self, link):
        self.links.append(link)

    def message(self, link, message):
        self.received.put_nowait(message)

    def link_down(self, link, reason):
        self.link_down_count += 1

    def send(self, *sent_messages):
        for message in sent_messages:
            self.links[-1].send(message)

    async def next(self, message_type):
        """Return the next message of a type, skipping others."""
        async with asyncio.timeout(HANG_S):
            while True:
                message = await self.received.get()
                if type(message) is message_type:
                    return message

    async def offered(self):
        offer = await self.next(messages.Offer)
        return offer.attempt_id

    def start(self, attempt_id, status=200, **headers):
        header_list = tuple(
            messages.Header(name.replace('_', '-'), value)
            for name, value in headers.items()
        )
        self.send(
            messages.Started(
                attempt_id, status, header_list, builders.adapter()
            )
        )

    def answer(self, attempt_id, *payloads, first=0):
        for number, payload in enumerate(payloads, first):
            self.send(messages.Data(attempt_id, number, payload))

    def end(self, attempt_id, count):
        self.send(messages.End(attempt_id, count))


class GatewayTestCase(unittest.IsolatedAsyncioTestCase):
    """A gateway ``self.shell`` with one fake sidecar ``self.sidecar``."""

    async def begin(self, **changes):
        self.counted = []
        self.shell = _shell.Shell(
            gateway_settings(**changes),
            gateway.reduce,
            builders.gateway_state(),
            lambda name, *rest: self.counted.append(name),
            lambda: b'metrics',
        )
        await self.shell.start()
        self.addAsyncCleanup(self.shell.close)
        self.session = aiohttp.ClientSession(
            f'http://127.0.0.1:{self.shell.front_end.port}'
        )
        self.addAsyncCleanup(self.session.close)

    async def add_sidecar(self, name='e1', service=builders.SERVICE):
        self.sidecar = FakeSidecar(name)
        await self.sidecar.server.start()
        self.addAsyncCleanup(self.sidecar.server.stop)
        row = builders.instance(
            name,
            service=service,
            address=f'127.0.0.1:{self.sidecar.server.port}',
        )
        self.shell.feed(events.InstancesListed(0, (row,)))
        await self.until(lambda: name in self.shell.links.open_links)

    async def until(self, condition):
        await until(condition)

    def post(self, body=None, path='/v1/completions', **headers):
        """Send a request; return a task with status, headers and body."""
        data = body
        if not isinstance(body, bytes):
            data = json.dumps({'model': 'a1@1'} | (body or {})).encode()
        named_headers = {
            name.replace('_', '-'): value for name, value in headers.items()
        }
        return asyncio.create_task(
            self._post(path, data, JSON | named_headers), name='caller'
        )

    async def _post(self, path, data, headers):
        async with self.session.post(
            path, data=data, headers=headers
        ) as response:
            return response.status, response.headers, await response.read()

    async def send_raw(self, data):
        """Send raw bytes on a new connection; return its streams."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.shell.front_end.port
        )
        self.addCleanup(writer.close)
        writer.write(data)
        return reader, writer

    async def assert_problem(self, answer, status, kind, ran='not_run'):
        given_status, headers, body = await answer
        problem = json.loads(body)
        self.assertEqual(
            (status, kind, ran),
            (given_status, problem['kind'], problem['ran']),
        )
        self.assertEqual(status, problem['status'])
        self.assertEqual('application/problem+json', headers['Content-Type'])
        self.assertEqual(headers['X-Request-Id'], problem['request_id'])
        return headers, problem
