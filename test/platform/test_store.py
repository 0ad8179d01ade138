"""Tests of reads from the platform's store over failing connections."""

import asyncio
import contextlib
import struct
import unittest

from aiohttp import web

from berylhollow import outgoing
from berylhollow import platform
from berylhollow.standin import _http

STREAM = 'keyed.servers'
EMPTY = struct.pack('>QQ', 0, 0)
HEDGE_MS = 20
NO_HEDGE_MS = 60_000
"""So long that no read is hedged, however slow the machine is."""

TEST_TIMEOUT_S = 30
"""Far longer than any wait, so that a fault fails instead of hanging."""


class StoreTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs a store that handles each read with the next of ``answers``."""

    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.answers = []
        self.calls = 0
        application = web.Application()
        application.router.add_get('/v1/log-read', self.read)
        port = await self.stack.enter_async_context(
            _http.listening(application, '127.0.0.1', 0)
        )
        self.client = platform.StoreClient(
            f'127.0.0.1:{port}', hedge_ms=HEDGE_MS
        )
        self.stack.push_async_callback(self.client.close)

    async def read(self, request):
        answer = self.answers[self.calls]
        self.calls += 1
        return await answer(request)

    async def next_offset(self, wait_ms=0):
        async with asyncio.timeout(TEST_TIMEOUT_S):
            result = await self.client.read(STREAM, 7, wait_ms)
        return result.next_offset


async def succeed(_request):
    return web.Response(body=EMPTY)


async def hang(_request):
    await asyncio.Event().wait()


async def abort_connection(request):
    request.transport.abort()
    return web.Response()


async def refuse(_request):
    return web.Response(status=503)


async def succeed_late(_request):
    await asyncio.sleep(3 * HEDGE_MS / 1000)
    return web.Response(body=EMPTY)


class HedgeTest(StoreTestCase):
    async def test_connection_that_went_silent(self):
        """The open connection to the store goes silent, new ones work.

        Without a second read the instance list was as old as the timeout of
        a call, which looks like an outage of the store: endpoints that left
        the list meanwhile were sent requests for two more seconds.
        """
        self.answers = [hang, succeed]
        self.assertEqual(7, await self.next_offset())

    async def test_connection_that_broke(self):
        self.answers = [abort_connection, succeed]
        self.assertEqual(7, await self.next_offset())

    async def test_refusal_is_not_asked_for_twice(self):
        """Every call to the store has a cost, refused ones included."""
        self.client.hedge_ms = NO_HEDGE_MS
        self.answers = [refuse]
        with self.assertRaises(outgoing.CallNotSent):
            await self.next_offset()
        self.assertEqual(1, self.calls)

    async def test_store_that_is_down_is_asked_once_a_read(self):
        """Hedged reads are useless while it resets every connection."""
        self.answers = [
            abort_connection,
            abort_connection,
            abort_connection,
            succeed,
            abort_connection,
            succeed,
        ]
        for _ in range(2):
            with self.assertRaises(outgoing.CallError):
                await self.next_offset()
        self.assertEqual(3, self.calls)
        for _ in range(2):
            self.assertEqual(7, await self.next_offset())

    async def test_read_that_waits_for_news_is_made_once(self):
        self.answers = [succeed_late]
        self.assertEqual(7, await self.next_offset(wait_ms=1000))
        self.assertEqual(1, self.calls)

    async def test_slow_answer_counts_while_the_second_is_lost(self):
        self.answers = [succeed_late, abort_connection]
        self.assertEqual(7, await self.next_offset())


def response_of_era(era):
    async def respond(_request):
        return web.Response(body=EMPTY, headers={'Store-Era': era})

    return respond


class EraTest(StoreTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.client.hedge_ms = NO_HEDGE_MS

    async def test_era_of_each_answer_is_told(self):
        self.answers += [succeed, response_of_era('3')]
        eras = [(await self.client.read(STREAM, 7)).era for _ in range(2)]
        self.assertEqual([0, 3], eras)

    async def test_late_answer_of_an_earlier_era_is_not_used(self):
        """A response from before a store restart arrives after it.

        Its offsets refer to records that no longer exist.
        """
        self.answers += [response_of_era('3'), response_of_era('2')]
        await self.client.read(STREAM, 7)
        with self.assertRaises(outgoing.CallNotSent):
            await self.client.read(STREAM, 7, 100)

    async def test_era_that_is_no_number_is_no_answer(self):
        self.answers += [response_of_era('x')]
        with self.assertRaises(outgoing.CallOutcomeUnknown):
            await self.client.read(STREAM, 7, 100)

    async def test_more_than_one_answer_holds_is_not_whole(self):
        async def part(_request):
            return web.Response(body=struct.pack('>QQ', 9, 0))

        self.answers += [part]
        self.assertFalse((await self.client.read(STREAM, 7)).whole)
