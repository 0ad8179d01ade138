"""Tests of a gateway's stop, and of its limits on callers."""

import asyncio

from test import builders
from test import gateway_helper


class StopTest(gateway_helper.GatewayTestCase):
    async def asyncSetUp(self):
        await self.begin()
        await self.add_sidecar()
        self.noticed = asyncio.Event()
        self.shell.notice = self.noticed.wait

    async def answer(self, answer, attempt_id):
        self.sidecar.start(attempt_id)
        self.sidecar.answer(attempt_id, b'whole')
        self.sidecar.end(attempt_id, 1)
        status, headers, body = await answer
        self.assertEqual((200, b'whole'), (status, body))
        return headers

    async def test_stop_cuts_off_no_request(self):
        """Guards against errors whenever a gateway is replaced.

        The balancer sends requests to a stopping gateway until it next
        checks /readyz. Before that the gateway must not close its listener
        or refuse a request.
        """
        first = self.post()
        attempt_id = await self.sidecar.offered()
        stopping = asyncio.create_task(self.shell.stop())
        await self.until(lambda: self.shell.stopping)
        async with self.session.get('/readyz') as response:
            self.assertEqual(503, response.status)
        late = self.post()
        headers = await self.answer(late, await self.sidecar.offered())
        self.assertEqual('close', headers['Connection'])
        self.noticed.set()
        await self.until(lambda: self.shell.driver.state.stopping)
        with self.assertRaises(ConnectionRefusedError):
            await self.send_raw(b'')
        await self.answer(first, attempt_id)
        self.assertEqual(0, await stopping)

    async def test_stop_ends_idle_connections(self):
        reader, _ = await self.send_raw(
            b'GET /healthz HTTP/1.1\r\nHost: g\r\n\r\n'
        )
        await reader.readuntil(b'}')
        self.noticed.set()
        self.assertEqual(0, await self.shell.stop())
        self.assertEqual(b'', await reader.read())


class DefectTest(gateway_helper.GatewayTestCase):
    async def test_callers_get_an_error_when_the_reducer_fails(self):
        """Guards against callers that wait for answers which never come.

        When a defect stops the reducer, the shell must answer the callers
        of all requests in flight before it ends.
        """
        await self.begin()
        await self.add_sidecar()
        answer = self.post()
        await self.sidecar.offered()
        self.shell.driver.reduce = gateway_helper.raise_defect
        with self.assertLogs('berylhollow', 'ERROR'):
            self.sidecar.send(builders.failed('any'))
            await self.assert_problem(answer, 500, 'internal', 'unknown')
        await self.assert_problem(self.post(), 500, 'internal', 'not_run')
        self.assertEqual(1, await self.shell.stop())


class BoundsTest(gateway_helper.GatewayTestCase):
    async def test_connection_over_the_limit_is_refused(self):
        await self.begin(listen={'port': 0, 'connections': 1})
        request = b'GET /healthz HTTP/1.1\r\nHost: g\r\n\r\n'
        reader, writer = await self.send_raw(request)
        await reader.readuntil(b'}')
        refused, _ = await self.send_raw(b'')
        answer = await refused.read()
        self.assertIn(b' 503 ', answer.partition(b'\r\n')[0])
        self.assertIn(b'"kind": "overloaded"', answer)
        writer.write(request)
        self.assertIn(b' 200 ', await reader.readline())

    async def test_bodies_in_flight_are_limited(self):
        """Guards against running out of memory on many large bodies at once.

        Each body is within the limit for one, so their sum needs a limit
        too.
        """
        await self.begin(limits={'body_bytes_in_flight': 1500})
        await self.add_sidecar()
        large = {'prompt': 'x' * 900}
        first = self.post(large)
        attempt_id = await self.sidecar.offered()
        headers, _ = await self.assert_problem(
            self.post(large), 503, 'overloaded'
        )
        self.assertEqual('1', headers['Retry-After'])
        await self.finish(first, attempt_id)
        second = self.post(large)
        await self.finish(second, await self.sidecar.offered())

    async def finish(self, answer, attempt_id):
        self.sidecar.start(attempt_id)
        self.sidecar.end(attempt_id, 0)
        self.assertEqual(200, (await answer)[0])
