"""Answers that are none in HTTP, at everything that reads answers."""

import asyncio
import collections.abc
import random
import unittest
from unittest import mock

from aiohttp import client_proto
from aiohttp import http_exceptions

from berylhollow import answer_head
from berylhollow import claims
from berylhollow import endpoint
from berylhollow import errors
from berylhollow.gateway import _claim_verdict
from berylhollow import liveness
from berylhollow import messages
from berylhollow import outgoing
from berylhollow import platform
from test import broken_answers
from test import builders
from test import gateway_helper
from test.hosted import direct_helper
from test import test_outgoing
from test import whole_helper

ORDER = platform.Order(True, 'm', 0, 'i-1', 'h-1')


async def read_whole(session, url):
    """Send a call and read its answer, whatever its status."""
    response = await outgoing.open_call(session, 'GET', url)
    return await outgoing.read_body(response)


async def run_beside_endpoint(session, url):
    """Send a request as a sidecar does and read the answer."""
    client = endpoint.EndpointClient(url, False, session, session)
    request = endpoint.EndpointRequest('GET', '/x', idempotent=True)
    try:
        answer = await client.open(request)
        return [part async for part in answer.chunks()]
    finally:
        await client.watches.close()


def check_health(session, url):
    """Send a health check."""
    return liveness.send_check(session, liveness.Target(url, '', '/'), {})


def read_report(session, url):
    """Read the report of an endpoint."""
    client = platform.EndpointControlClient(url[len('http://') :], session)
    return client.state()


def send_order(session, url):
    """Send an order to an endpoint."""
    client = platform.EndpointControlClient(url[len('http://') :], session)
    return client.order(ORDER)


def read_store(session, url):
    """Read records from the platform's store, without a second try."""
    client = platform.StoreClient(url[len('http://') :], session)
    client.is_healthy = False
    return client.newest('s')


def append_to_store(session, url):
    """Append a record to the platform's store."""
    client = platform.StoreClient(url[len('http://') :], session)
    return client.append('s', b'')


READERS: dict[str, collections.abc.Callable] = {
    'call': read_whole,
    'sidecar': run_beside_endpoint,
    'health check': check_health,
    'report': read_report,
    'order': send_order,
    'store, read': read_store,
    'store, append': append_to_store,
}


class BrokenAnswerTest(unittest.IsolatedAsyncioTestCase):
    """None of them counts as an answer, and its connection is not reused."""

    async def assert_no_answer(self, raw, read):
        server = test_outgoing.RecordingServer(raw, keep_open=True)
        url = (await server.start(self)).removesuffix('/x')
        async with outgoing.open_session() as session:
            for _ in range(2):
                with (
                    self.assertLogs('berylhollow.outgoing', 'INFO') as logs,
                    self.assertRaises(outgoing.CallOutcomeUnknown) as caught,
                ):
                    async with asyncio.timeout(direct_helper.HANG_S):
                        await read(session, url)
                self.assertTrue(str(caught.exception).isprintable())
                (record,) = logs.records
                self.assertIn(record.peer, url)
                self.assertTrue(record.reason)
                self.assertTrue(record.reason.isprintable())
        self.assertEqual(2, server.connections)

    async def assert_none_is_an_answer(self, answers):
        for name, raw in answers.items():
            for reader, read in READERS.items():
                with self.subTest(name, reader=reader):
                    await self.assert_no_answer(raw, read)

    async def test_status_outside_http_is_no_answer(self):
        """Guards against status 000 of an endpoint, taken for an answer."""
        await self.assert_none_is_an_answer(broken_answers.INVALID_STATUSES)

    async def test_change_of_protocol_is_no_answer(self):
        """Guards against a 101 that nobody asked for, taken for an answer."""
        await self.assert_none_is_an_answer(broken_answers.SWITCHING_PROTOCOLS)

    async def test_start_line_outside_http_is_no_answer(self):
        """Guards against another protocol's response, taken for an answer."""
        await self.assert_none_is_an_answer(broken_answers.INVALID_STARTS)

    async def test_field_name_outside_http_is_no_answer(self):
        """Guards against a name with a blank, taken for an answer's field."""
        await self.assert_none_is_an_answer(broken_answers.INVALID_NAMES)

    async def test_control_character_in_a_value_is_no_answer(self):
        """Guards against an answer that can't be passed on once it has run."""
        await self.assert_none_is_an_answer(broken_answers.INVALID_VALUES)

    async def test_unknown_transfer_coding_is_no_answer(self):
        """Guards against a coded body, taken for the endpoint's own."""
        await self.assert_none_is_an_answer(broken_answers.INVALID_CODINGS)

    async def test_start_line_in_pieces_is_read(self):
        """Guards against a start line that is only known in one piece."""
        for name, raw in broken_answers.INVALID_STARTS.items():
            for whole in (
                raw,
                broken_answers.INTERIM + raw,
                b'\r\n\r\n' + broken_answers.INTERIM + b'\n' + raw,
            ):
                connection = outgoing.Connection(asyncio.get_running_loop())
                connection.set_response_params()
                for byte in whole:
                    connection.data_received(bytes((byte,)))
                error = http_exceptions.HttpProcessingError
                with self.subTest(name), self.assertRaises(error):
                    while (await connection.read())[0].code < 200:
                        pass

    async def test_unusual_answer_is_read(self):
        """Guards against whole answers that are taken for broken ones."""
        for name, raw in broken_answers.WHOLE.items():
            with self.subTest(name):
                server = test_outgoing.RecordingServer(raw)
                url = await server.start(self)
                async with outgoing.open_session() as session:
                    body = await read_whole(session, url)
                self.assertEqual(broken_answers.BODY, body)

    async def test_damaged_answers_are_judged(self):
        """Guards against bytes that make a connection raise, or get through.

        They come in pieces of any size.
        """
        source = random.Random(1)
        heads = 0
        for _ in range(3000):
            raw = broken_answers.damaged(source)
            size = source.choice((1, 2, 3, 7, 50, 5000))
            for message in self.heads_of(raw, size):
                heads += 1
                with self.subTest(raw):
                    self.assertIn(message.code, answer_head.STATUSES)
                    self.assertNotEqual(101, message.code)
                    for name, value in message.headers.items():
                        self.assertRegex(name, answer_head.FIELD_NAME)
                        self.assertNotRegex(
                            value, answer_head.CONTROL_CHARACTER
                        )
                        value.encode()
        self.assertGreater(heads, 300)

    def heads_of(self, raw, size):
        """Return the heads of a call that a connection passes on."""
        connection = outgoing.Connection(asyncio.get_running_loop())
        connection.set_response_params()
        with mock.patch.object(
            client_proto.ResponseHandler, 'feed_data', autospec=True
        ) as passed_on:
            for start in range(0, len(raw), size):
                if connection.awaits_head:
                    connection.data_received(raw[start : start + size])
        heads = [call.args[1][0] for call in passed_on.call_args_list]
        final = [x for x in heads if x.code not in range(100, 200)]
        return heads[: heads.index(final[0]) + 1] if final else heads

    def test_head_without_end_is_not_kept(self):
        """Guards against bytes that are no answer and take all memory."""
        for start, more in broken_answers.ENDLESS_HEADS:
            heads = answer_head.ReceivedHeads()
            heads.add(start)
            for _ in range(1000):
                heads.add(more)
            kept = len(heads.start + heads.tail + heads.data)
            with self.subTest(start=start, more=more[:10]):
                self.assertLess(kept, 2 * 8192 + len(more))

    async def test_answer_with_surplus_bytes_is_read(self):
        """Guards against an answer that is lost to bytes after its end."""
        for name, raw in broken_answers.INVALID_STATUSES.items():
            with self.subTest(name):
                whole = broken_answers.answer()
                server = test_outgoing.RecordingServer(whole + raw)
                url = await server.start(self)
                async with outgoing.open_session() as session:
                    for _ in range(2):
                        body = await read_whole(session, url)
                        self.assertEqual(broken_answers.BODY, body)
                self.assertEqual(2, server.connections)


class BrokenAttemptTest(direct_helper.DirectTestCase):
    """An attempt at an endpoint that gives none may have run."""

    async def assert_attempts_fail(self, answers):
        for number, (name, raw) in enumerate(answers.items()):
            for another in (False, True):
                with self.subTest(name, another=another):
                    await self.begin_raw(raw)
                    with self.assertLogs('berylhollow', 'INFO') as logs:
                        self.send_offer(number=number, another=another)
                        told = await self.messages_to_end()
                    (failed,) = told
                    self.assertIsInstance(failed, messages.Failed)
                    self.assertIs(errors.Ran.UNKNOWN, failed.ran)
                    self.assertIs(errors.Kind.ENGINE_RESTARTED, failed.kind)
                    *_, record = logs.records
                    self.assertEqual('attempt failed', record.getMessage())
                    self.assertTrue(record.reason.isprintable())

    async def test_status_outside_http_fails_the_attempt(self):
        """Guards against status 000 of an endpoint, passed to a caller."""
        await self.assert_attempts_fail(broken_answers.INVALID_STATUSES)

    async def test_change_of_protocol_fails_the_attempt(self):
        """Guards against a 101 that nobody asked for, passed to a caller."""
        await self.assert_attempts_fail(broken_answers.SWITCHING_PROTOCOLS)

    async def test_start_line_outside_http_fails_the_attempt(self):
        """Guards against another protocol's response, passed to a caller."""
        await self.assert_attempts_fail(broken_answers.INVALID_STARTS)

    async def test_field_name_outside_http_fails_the_attempt(self):
        """Guards against a name with a blank, passed to a caller."""
        await self.assert_attempts_fail(broken_answers.INVALID_NAMES)

    async def test_control_character_in_a_value_fails_the_attempt(self):
        """Guards against an answer that can't be passed on once it has run."""
        await self.assert_attempts_fail(broken_answers.INVALID_VALUES)

    async def test_unknown_transfer_coding_fails_the_attempt(self):
        """Guards against a coded body, passed to a caller."""
        await self.assert_attempts_fail(broken_answers.INVALID_CODINGS)

    async def test_unusual_answer_is_relayed(self):
        """Guards against whole answers that are taken for broken ones."""
        for number, (name, raw) in enumerate(broken_answers.WHOLE.items()):
            with self.subTest(name):
                await self.begin_raw(raw)
                self.send_offer(number=number)
                told = await self.messages_to_end()
                self.assertIsInstance(told[-1], messages.End)


class SidecarTest(whole_helper.WholeTestCase):
    """Answers of a plain service that pass a sidecar and a link."""

    async def serve_service(self, instance):
        endpoint = test_outgoing.RecordingServer(keep_open=True)
        url = await endpoint.start(self)
        self.endpoint = endpoint
        return url.removesuffix('/x')

    async def answer_to(self, key):
        url = (
            f'{self.gateways[0].url}/v1/services/'
            f'{whole_helper.PLAIN_SERVICE}/book'
        )
        async with self.session.post(
            url, json={}, headers={'Idempotency-Key': key}
        ) as response:
            return response.headers.get('X'), await response.read()

    async def test_value_that_is_not_utf_8_passes_a_sidecar(self):
        """Guards against an answer that ends the sidecar that reads it.

        Neither a message to a gateway nor a record of the answer for a key
        can have its bytes.
        """
        await self.begin(gateways=1, engines=0)
        whole = broken_answers.BODY
        for number, (raw, text) in enumerate(
            {
                b'caf\xe9': 'caf\xe9',
                b'caf\xc3\xa9': 'caf\xe9',
                b'\xff': '\xff',
            }.items()
        ):
            self.endpoint.script = broken_answers.answer(
                fields=b'X: %b\r\n' % raw
            )
            for _ in range(2):
                async with asyncio.timeout(whole_helper.HANG_S):
                    got = await self.answer_to(f'key-{number}')
                self.assertEqual((text, whole), got)
        self.assertEqual(3, len(self.endpoint.heads))


class LinkTest(gateway_helper.GatewayTestCase):
    """Heads that a sidecar of another version sends over its link."""

    BROKEN = (
        (0, 'X', 'a'),
        (99, 'X', 'a'),
        (101, 'X', 'a'),
        (102, 'X', 'a'),
        (600, 'X', 'a'),
        (200, 'X Y', 'a'),
        (200, 'X ', 'a'),
        (200, '', 'a'),
        (200, 'X', 'a\x01'),
        (200, 'X', 'a\r\nb'),
        (404, 'X', 'a\x7f'),
    )

    async def test_head_outside_http_reaches_no_caller(self):
        """Guards against status 000 from a link, passed to a caller."""
        await self.begin()
        await self.add_sidecar()
        for status, name, value in self.BROKEN:
            with self.subTest(status=status, name=name, value=value):
                answer = self.post(X_Deadline_Ms='5000')
                attempt_id = await self.sidecar.offered()
                header = messages.Header(name, value)
                adapter = builders.adapter()
                with self.assertLogs('berylhollow', 'WARNING') as logs:
                    self.sidecar.send(
                        messages.Started(
                            attempt_id, status, (header,), adapter
                        )
                    )
                    await self.assert_problem(
                        answer, 502, 'endpoint_failed', 'unknown'
                    )
                (record,) = logs.records
                self.assertTrue(record.reason.isprintable())
                cancel = await self.sidecar.next(messages.Cancel)
                self.assertEqual(attempt_id, cancel.attempt_id)
                # What follows belongs to nothing.
                self.sidecar.answer(attempt_id, b'late')
                self.sidecar.end(attempt_id, 1)

    async def test_stored_head_outside_http_reaches_no_caller(self):
        """Guards against status 000 in a record, passed to a caller."""
        for status, name, value in self.BROKEN:
            with self.subTest(status=status, name=name, value=value):
                answer = claims.StoredAnswer(
                    status, (messages.Header(name, value),), b'whole'
                )
                holding = claims.Holding(
                    'other', b'f', 0, 1, claims.Outcome.RAN, answer
                )
                claim = claims.Claim(b'k', 'own', b'f', 1)
                with self.assertLogs('berylhollow', 'WARNING'):
                    verdict = _claim_verdict.judge(claim, holding, 0)
                self.assertIsNone(verdict.answer)
                self.assertIs(errors.Kind.ALREADY_RAN, verdict.kind)
                self.assertIs(errors.Ran.RAN, verdict.ran)
                decided = messages.ClaimDecided(
                    0,
                    'own',
                    False,
                    errors.Kind.INTERNAL,
                    errors.Ran.NOT_RUN,
                    0,
                    status,
                    answer.headers,
                    answer.body,
                )
                with self.assertLogs('berylhollow', 'WARNING'):
                    verdict = _claim_verdict.from_message(decided)
                self.assertIsNone(verdict.answer)
                self.assertIs(errors.Kind.ALREADY_RAN, verdict.kind)
                self.assertIs(errors.Ran.RAN, verdict.ran)
