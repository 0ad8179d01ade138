"""Planned stops of a gateway while callers go on sending."""

import asyncio
import http

import aiohttp

from test import broken_answers
from test.hosted import direct_helper
from test.hosted import hosted_helper
from test import platform_builders as builders

RUN_S = 2.4
GRACE_S = 5
PAUSE_S = 0.1
CLOSED = 0
"""Stands for the status of a request whose connection ended without one."""

SERVED = http.HTTPStatus.OK
REFUSED = http.HTTPStatus.SERVICE_UNAVAILABLE
UNKNOWN = http.HTTPStatus.BAD_GATEWAY


class StopTest(hosted_helper.HostedTestCase):
    """One service takes ``RUN_S`` for each request, another never answers."""

    node_changes = {'GraceS = 8': f'GraceS = {GRACE_S}'}

    async def asyncSetUp(self):
        await super().asyncSetUp()
        answer = broken_answers.answer()
        self.slow = direct_helper.SlowEndpoint(answer, RUN_S)
        self.mute = direct_helper.RawEndpoint(b'', hangs=True)
        self.routes = routes = []
        for name, endpoint in (('slow', self.slow), ('mute', self.mute)):
            endpoint.instance = f'i-{name}'
            server = await asyncio.start_server(endpoint.serve, '127.0.0.1', 0)
            self.stack.callback(server.close)
            port = server.sockets[0].getsockname()[1]
            await self.register(endpoint, port, name)
            routes.append(
                builders.plain_route(
                    name, f'/{name}/', Service=name, TimeoutMs=20_000
                )
            )
        await self.publish(8, routes=routes)
        self.gateway = await self.begin('gateway')
        await self.wait_until_ready()

    async def status_of(self, path):
        """Send a request over a connection of its own; return its status."""
        headers = {
            'Host': builders.HOST,
            'Request-Id': 'id-1',
            'Deadline-Ms': '12000',
        }
        url = self.callers_url + path
        async with aiohttp.ClientSession() as session:
            try:
                async with session.post(url, headers=headers) as got:
                    await got.read()
                    return got.status
            except aiohttp.ClientConnectorError:
                return None
            except aiohttp.ClientError:
                return CLOSED

    async def send_until_closed(self, path):
        """Send requests until none is accepted; return their statuses."""
        asking = []
        while not asking or not (
            asking[-1].done() and asking[-1].result() is None
        ):
            asking.append(asyncio.create_task(self.status_of(path)))
            await asyncio.sleep(PAUSE_S)
        return await asyncio.gather(*asking[:-1])

    async def test_request_that_outlasts_the_stop_is_answered(self):
        """Guards against requests that are cut without an answer."""
        asking = asyncio.create_task(self.status_of('/mute/x'))
        await self.mute.arrived.wait()
        self.gateway.process.terminate()
        self.assertEqual(UNKNOWN, await asking)
