"""Reads of the log service over slow connections."""

import asyncio
import contextlib
import json
import math
import unittest
from unittest import mock

from aiohttp import web

from berylhollow import log_service
from berylhollow.log_service import _log_client
from berylhollow import outgoing
from berylhollow.standin import _http
from test import slow_answers

READ_TIMEOUT_MS = 1000
PAGE = json.dumps(
    {'records': [], 'first_offset': 0, 'next_offset': 7}
).encode()


class SlowAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.stack.enter_context(
            mock.patch.object(_log_client, 'READ_TIMEOUT_MS', READ_TIMEOUT_MS)
        )
        self.may_end = asyncio.Event()
        application = web.Application()
        application.router.add_get('/{path:.*}', self.respond)
        port = await self.stack.enter_async_context(
            _http.listening(application, '127.0.0.1', 0)
        )
        self.client = log_service.LogClient(f'http://127.0.0.1:{port}')
        self.stack.push_async_callback(self.client.close)

    async def respond(self, request):
        return await slow_answers.send_in_pieces(request, PAGE, self.may_end)

    async def test_page_that_keeps_arriving_is_not_dropped(self):
        """A large page over a slow link was read from zero again and again."""
        self.may_end.set()
        result = await self.client.read('operators', 0)
        self.assertEqual(7, result.next_offset)

    async def test_page_that_stops_arriving_is_dropped(self):
        with self.assertRaises(outgoing.CallOutcomeUnknown):
            await self.client.read('operators', 0)
        self.may_end.set()


class MalformedAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Bodies that are not what a call of the log returns."""

    async def test_refusal_without_the_first_offset_is_no_answer(self):
        """Guards against a reader that never reads again."""
        bodies = (
            {},
            {'first_offset': None},
            {'first_offset': 'x'},
            {'first_offset': [1]},
            {'first_offset': math.inf},
        )
        for fields in bodies:

            async def respond(_request, fields=fields):
                return web.json_response(
                    {'error': 'offset_gone'} | fields, status=410
                )

            application = web.Application()
            application.router.add_get('/{path:.*}', respond)
            async with _http.listening(application, '127.0.0.1', 0) as port:
                client = log_service.LogClient(f'http://127.0.0.1:{port}')
                with self.subTest(fields):
                    with self.assertRaises(outgoing.CallOutcomeUnknown):
                        await client.read('operators', 0)
                await client.close()

    async def test_infinite_offset_is_no_answer(self):
        """Guards against a number that no integer can have."""

        async def respond(_request):
            return web.json_response(
                {
                    'offset': math.inf,
                    'records': [],
                    'first_offset': math.inf,
                    'next_offset': math.inf,
                }
            )

        application = web.Application()
        application.router.add_route('*', '/{path:.*}', respond)
        async with _http.listening(application, '127.0.0.1', 0) as port:
            client = log_service.LogClient(f'http://127.0.0.1:{port}')
            with self.assertRaises(outgoing.CallOutcomeUnknown):
                await client.read('operators', 0)
            with self.assertRaises(outgoing.CallOutcomeUnknown):
                await client.append('operators', b'')
            await client.close()

    async def test_nested_json_is_no_answer(self):
        """Guards against JSON that the library can't read to its end."""
        reply = outgoing.Reply(200, 100_000 * b'[')
        with self.assertRaises(outgoing.CallOutcomeUnknown):
            reply.value()
