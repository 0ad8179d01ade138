"""What callers of a gateway get when endpoints send answers that are none."""

import asyncio
import http
import pathlib

import aiohttp

from berylhollow.standin import direct_endpoint
from test import broken_answers
from test.hosted import direct_helper
from test.hosted import hosted_helper
from test import platform_builders as builders

REQUESTS = 3
"""Requests to each service, no more than may be tried again at first."""

CLOSED = 0
"""Stands for a status where a connection ended without one."""


class BrokenAnswerTest(hosted_helper.HostedTestCase):
    """Each answer comes from an endpoint with a service of its own.

    A second service has a sound endpoint too. Its requests may run more than
    once, those of the first may not.
    """

    async def begin_all(self, answers):
        """Start the endpoints for each answer, and the gateway."""
        self.alone = {}
        routes = []
        for number, (name, raw) in enumerate(answers.items()):
            alone, beside = f'alone{number}', f'beside{number}'
            endpoints = [
                direct_helper.RawEndpoint(raw, closes=False) for _ in range(2)
            ]
            self.alone[name] = endpoints[0]
            routes.append(await self.add_raw_endpoint(endpoints[0], alone))
            route = await self.add_raw_endpoint(endpoints[1], beside)
            routes.append(route | {'Kind': 'safe', 'MaxAttempts': 2})
            sound = direct_endpoint.DirectEndpoint(f'i-sound-{number}')
            await self.register(sound, await self.serve(sound), beside)
        await self.publish(8, routes=routes)
        self.gateway = await self.begin('gateway')
        await self.wait_until_ready()

    async def status_of(self, path, request_id):
        try:
            async with self.open_request(path, request_id) as got:
                await got.read()
                return got.status
        except aiohttp.ClientError:
            return CLOSED

    async def statuses_of(self, path):
        # The answers are to the request with this id.
        return [await self.status_of(path, 'id-1') for _ in range(REQUESTS)]

    async def assert_none_reaches_a_caller(self, answers):
        await self.begin_all(answers)
        for number, name in enumerate(answers):
            with self.subTest(name):
                statuses = await self.statuses_of(f'/alone{number}/x')
                bad_gateway = http.HTTPStatus.BAD_GATEWAY
                self.assertEqual(bad_gateway, statuses[0])
                self.assertLessEqual(
                    {*statuses},
                    {bad_gateway, http.HTTPStatus.SERVICE_UNAVAILABLE},
                )
                sent = statuses.count(bad_gateway)
                self.assertEqual(sent, len(self.alone[name].answering))
                statuses = await self.statuses_of(f'/beside{number}/x')
                self.assertEqual([http.HTTPStatus.OK] * REQUESTS, statuses)
        self.assertIsNone(self.gateway.process.returncode)

    async def test_status_outside_http_reaches_no_caller(self):
        """Guards against status 000 of an endpoint, passed to callers."""
        await self.assert_none_reaches_a_caller(
            broken_answers.INVALID_STATUSES
        )

    async def test_change_of_protocol_reaches_no_caller(self):
        """Guards against a 101 that nobody asked for, passed to callers."""
        await self.assert_none_reaches_a_caller(
            broken_answers.SWITCHING_PROTOCOLS
        )

    async def test_start_line_outside_http_reaches_no_caller(self):
        """Guards against another protocol's response, passed to callers."""
        await self.assert_none_reaches_a_caller(broken_answers.INVALID_STARTS)

    async def test_field_name_outside_http_reaches_no_caller(self):
        """Guards against a name with a blank, passed to callers."""
        await self.assert_none_reaches_a_caller(broken_answers.INVALID_NAMES)

    async def test_control_character_in_a_value_reaches_no_caller(self):
        """Guards against a connection closed in place of a 502."""
        await self.assert_none_reaches_a_caller(broken_answers.INVALID_VALUES)

    async def test_unknown_transfer_coding_reaches_no_caller(self):
        """Guards against a coded body, passed to callers."""
        await self.assert_none_reaches_a_caller(broken_answers.INVALID_CODINGS)

    async def test_value_that_is_not_utf_8_reaches_its_caller(self):
        """Guards against a value that loses bytes on its way to a caller."""
        fields = b'X: caf\xe9\r\nServer-Limit: \xe9\r\n'
        await self.begin_all({'bytes': broken_answers.answer(fields=fields)})
        async with self.open_request('/alone0/x', 'id-1') as got:
            self.assertEqual('caf\xe9', got.headers['X'])
            self.assertEqual(broken_answers.BODY, await got.read())


class EndlessAnswerTest(hosted_helper.HostedTestCase):
    """Endpoints that send bytes without end, many of them at once."""

    MEMORY_KIB = 300 * 1024
    """What the platform gives a gateway."""

    OPEN_S = 3.0
    """Longer than a head may take."""

    async def hold(self, path):
        """Send a request and read nothing of its answer."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.ports[2], limit=1024
        )
        self.stack.callback(writer.transport.abort)
        writer.write(
            b'POST %b HTTP/1.1\r\nHost: %b\r\nRequest-Id: id-1\r\n'
            b'Deadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n'
            % (path.encode(), builders.HOST.encode())
        )
        return reader

    async def test_bytes_without_end_take_no_memory(self):
        """Guards against a gateway that runs out of memory with them."""
        endless = (
            *broken_answers.ENDLESS_HEADS,
            *broken_answers.ENDLESS_BODIES,
        )
        routes = [
            await self.add_raw_endpoint(
                direct_helper.EndlessEndpoint(*parts), f'endless{number}'
            )
            for number, parts in enumerate(endless)
        ]
        await self.register_all()
        await self.publish(8, routes=[*routes, builders.plain_route()])
        self.gateway = await self.begin('gateway')
        await self.wait_until_ready()
        for number in range(len(endless)):
            await self.hold(f'/endless{number}/x')
        ended = asyncio.get_running_loop().time() + self.OPEN_S
        while asyncio.get_running_loop().time() < ended:
            async with self.open_request('/puxa403/x', 'id-2') as got:
                self.assertEqual(http.HTTPStatus.OK, got.status)
        status = pathlib.Path(f'/proc/{self.gateway.process.pid}/status')
        (peak,) = (
            int(line.split()[1])
            for line in status.read_text().splitlines()
            if line.startswith('VmHWM:')
        )
        self.assertLess(peak, self.MEMORY_KIB)
        self.assertIsNone(self.gateway.process.returncode)
