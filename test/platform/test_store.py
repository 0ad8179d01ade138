"""Tests of reads from the platform's store over failing connections."""

import asyncio
import contextlib
import json
import struct
import unittest

from aiohttp import web

from berylhollow import outgoing
from berylhollow import platform
from berylhollow.platform import _records
from berylhollow import routes
from berylhollow.standin import _http
from test import slow_answers

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
        for call in ('read', 'newest'):
            application.router.add_get(f'/v1/log-{call}', self.read)
        application.router.add_post('/v1/log-append', self.read)
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


RECORD = bytes(range(256)) * 256
LARGE = struct.pack('>QQ', 8, 0) + struct.pack('>I', len(RECORD)) + RECORD


class TransferTest(StoreTestCase):
    """Answers that take longer to arrive than the store may be silent."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.client.hedge_ms = NO_HEDGE_MS
        self.rest_wanted = asyncio.Event()

    async def respond_in_halves(self, request):
        response = web.StreamResponse(
            headers={'Content-Length': str(len(LARGE))}
        )
        await response.prepare(request)
        await response.write(LARGE[: len(LARGE) // 2])
        await self.rest_wanted.wait()
        await response.write(LARGE[len(LARGE) // 2 :])
        return response

    async def wait_until_arriving(self):
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not self.client.transfers:
                await asyncio.sleep(0.001)

    async def test_answer_that_keeps_arriving_is_not_dropped(self):
        """A body that took longer than one second was read from zero."""

        async def respond(request):
            return await slow_answers.send_in_pieces(request, LARGE)

        self.answers = [respond]
        with self.assertLogs('berylhollow.platform', 'INFO') as logs:
            self.assertEqual(8, await self.next_offset())
        (line,) = logs.records
        self.assertEqual('large answer received', line.getMessage())
        self.assertEqual(len(LARGE), line.size_bytes)
        self.assertGreaterEqual(line.duration_ms, 1000)

    async def test_answer_that_stops_arriving_is_dropped(self):
        """A read must not wait for the rest of a lost connection's answer."""
        self.answers = [self.respond_in_halves, abort_connection]
        with self.assertRaises(outgoing.CallError):
            await self.next_offset()
        self.rest_wanted.set()

    async def test_records_that_are_arriving_are_not_requested_again(self):
        """Two copies of a large answer shared a slow link, none arrived."""
        self.answers = [self.respond_in_halves]
        first = asyncio.create_task(self.next_offset(wait_ms=1000))
        await self.wait_until_arriving()
        second = asyncio.create_task(self.next_offset())
        await asyncio.sleep(0)
        self.rest_wanted.set()
        self.assertEqual([8, 8], await asyncio.gather(first, second))
        self.assertEqual(1, self.calls)

    async def test_read_that_joins_is_no_newer_than_the_one_it_joins(self):
        """A key revoked between the two reads is not proven by the second."""
        self.answers = [self.respond_in_halves]
        first = asyncio.create_task(self.client.read(STREAM, 7))
        await self.wait_until_arriving()
        joined_ms = self.client.time.now_ms()
        second = asyncio.create_task(self.client.read(STREAM, 7))
        await asyncio.sleep(0)
        self.rest_wanted.set()
        begun_ms = (await first).begun_ms
        self.assertLessEqual(begun_ms, joined_ms)
        self.assertEqual(begun_ms, (await second).begun_ms)

    async def test_answer_that_nobody_waits_for_is_not_joined(self):
        """A read that joined a cancelled one would be cancelled with it."""
        self.answers = [self.respond_in_halves, succeed]
        first = asyncio.create_task(self.next_offset())
        await self.wait_until_arriving()
        first.cancel()
        await asyncio.sleep(0)
        self.assertEqual(7, await self.next_offset())
        self.rest_wanted.set()


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


class TruncatedTest(StoreTestCase):
    """Guards against an answer that was cut and whose frame looks whole."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.client.hedge_ms = NO_HEDGE_MS

    def answer_with(self, body, status=200):
        async def respond(_request):
            return web.Response(body=body, status=status)

        self.answers.append(respond)

    async def test_cut_json_is_no_answer(self):
        """The error would not be one of a failed call, and end its task."""
        calls = (
            (lambda: self.client.newest(STREAM), 200),
            (lambda: self.client.append(STREAM, b'x'), 200),
            (lambda: self.client.read(STREAM, 7, 100), 410),
        )
        for number, (call, status) in enumerate(calls):
            with self.subTest(number):
                self.answer_with(b'{"Offset": 1', status)
                with self.assertRaises(outgoing.CallOutcomeUnknown):
                    await call()

    async def test_page_cut_inside_a_record_has_the_records_before(self):
        record = struct.pack('>I', 3) + b'abc'
        page = struct.pack('>QQ', 9, 0) + record + record
        for end in range(len(page) - len(record) + 1, len(page)):
            with self.subTest(end):
                self.answer_with(page[:end])
                result = await self.client.read(STREAM, 7, 100)
                self.assertEqual(1, len(result.records))
                self.assertEqual(
                    (8, False), (result.next_offset, result.whole)
                )


class MalformedAnswerTest(StoreTestCase):
    """Bodies that are not what a call of the store returns.

    Guards against a gateway that never reads again: whoever waits for a read
    is told of an error of the call only, not of any other exception.
    """

    NESTED = b'{"End": ' + 100_000 * b'['
    OBJECTS = (
        b'',
        b'x',
        b'{}',
        b'[]',
        b'1',
        b'null',
        b'\xff\xfe',
        NESTED,
        b'{"End": ' + 5000 * b'9' + b'}',
    )
    PAGES = (
        *OBJECTS,
        b'{"End": 1}',
        b'{"End": "1", "items": []}',
        b'{"End": -1, "items": []}',
        b'{"End": 1, "items": {}}',
        b'{"End": 1, "items": null}',
        b'{"End": 1, "items": [1]}',
        b'{"End": 1, "items": [{}]}',
        b'{"End": 1, "items": [], "HasMore": true}',
    )
    ITEMS = (
        {'Key': 1, 'Value': '', 'Offset': 0},
        {'Key': 'k' * 256, 'Value': '', 'Offset': 0},
        {'Key': 'k', 'Value': 'x', 'Offset': 0},
        {'Key': 'k', 'Value': 1, 'Offset': 0},
        {'Key': 'k', 'Value': '\xe9', 'Offset': 0},
        {'Key': 'k', 'Value': '', 'Offset': 'x'},
        {'Key': 'k', 'Value': '', 'Offset': None},
        {'Key': 'k', 'Value': '', 'Offset': 1e999},
    )

    async def assert_no_answer(self, call, body, status=200):
        async def respond(_request):
            return web.Response(status=status, body=body)

        self.answers = [respond] * (self.calls + 2)
        self.client.is_healthy = False
        with self.subTest(body[:80], status=status):
            with self.assertRaises(outgoing.CallOutcomeUnknown):
                await call()

    async def test_page_of_newest_records(self):
        items = [
            json.dumps({'End': 1, 'items': [item]}).encode()
            for item in self.ITEMS
        ]
        for body in (*self.PAGES, *items):
            await self.assert_no_answer(
                lambda: self.client.newest(STREAM), body
            )

    async def test_key_that_is_no_text_hides_no_other(self):
        """Guards against a foreign record that keeps all others unread."""
        records = [
            {'Key': key, 'Value': '', 'Offset': offset}
            for offset, key in enumerate(('\ud800', 'k'))
        ]
        body = json.dumps({'End': 2, 'items': records}).encode()

        async def respond(_request):
            return web.Response(body=body)

        self.answers = [respond]
        result = await self.client.newest(STREAM)
        odd, own = result.records
        self.assertEqual(('k', b''), _records.decode_keyed(own.data))
        with self.assertRaises(routes.MalformedRecordError):
            _records.decode_keyed(odd.data)

    async def test_offset_of_an_append(self):
        values = (b'"1"', b'null', b'-1', b'1.5', b'true', b'[1]')
        offsets = [b'{"Offset": %b}' % value for value in values]
        for body in (*self.OBJECTS, *offsets):
            await self.assert_no_answer(
                lambda: self.client.append(STREAM, b'x'), body
            )

    async def test_first_offset_that_is_kept(self):
        values = (b'"1"', b'null', b'-1', b'1.5', b'true', b'[1]')
        offsets = [b'{"First": %b}' % value for value in values]
        for body in (*self.OBJECTS, *offsets):
            await self.assert_no_answer(
                lambda: self.client.read(STREAM, 7), body, status=410
            )
