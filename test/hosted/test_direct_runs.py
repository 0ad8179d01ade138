"""Tests of attempts at endpoints that take requests directly."""

import asyncio
from unittest import mock

from berylhollow import errors
from berylhollow import messages
from berylhollow import outgoing
from berylhollow.standin import direct_endpoint
from test.hosted import direct_helper

RESPONSE_HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nServer-Seal: s\r\n'
    b'Content-Type: text/plain\r\n'
)


class AnswerTest(direct_helper.DirectTestCase):
    async def test_complete_answer_is_relayed(self):
        await self.begin()
        self.send_offer(body=b'hello')
        reported = await self.messages_to_end()
        self.assertEqual(200, reported[0].status)
        payload = b''.join(
            m.payload for m in reported if isinstance(m, messages.Data)
        )
        self.assertEqual(b''.join(self.endpoint.events), payload)
        (ran,) = self.endpoint.ran
        self.assertEqual(('/a/%2Fb?c=d', b'hello'), (ran.path, ran.body))

    async def test_reset_body_without_length_is_incomplete(self):
        """Guards against truncated answers that look complete.

        An answer without a length ends with its connection. The endpoint
        crashes half way: a reset connection is not the end of the body.
        """
        await self.begin_raw(RESPONSE_HEAD + b'\r\nhalf of it', reset=True)
        self.send_offer()
        reported = await self.messages_to_end()
        self.assertIsInstance(reported[-1], messages.Failed)
        self.assertIs(errors.Kind.STREAM_BROKEN, reported[-1].kind)

    async def test_closed_body_without_length_is_complete(self):
        await self.begin_raw(RESPONSE_HEAD + b'\r\nall of it')
        self.send_offer()
        reported = await self.messages_to_end()
        self.assertIsInstance(reported[-1], messages.End)

    async def test_short_body_is_incomplete(self):
        await self.begin_raw(RESPONSE_HEAD + b'Content-Length: 20\r\n\r\nhalf')
        self.send_offer()
        self.assertIsInstance(
            (await self.messages_to_end())[-1], messages.Failed
        )

    async def test_probe_has_a_connection_of_its_own(self):
        """Guards against a probe that is lost at an endpoint that ended."""
        answer = RESPONSE_HEAD + b'Content-Length: 2\r\n\r\nok'
        endpoint = direct_helper.KeepingEndpoint(answer)
        await self.listen(endpoint)
        opened = []
        for number, is_probe in enumerate((False, False, True, True), 1):
            self.send_offer(number=number, is_probe=is_probe)
            await self.messages_to_end()
            opened.append(endpoint.connections)
        self.assertEqual([1, 1, 2, 3], opened)

    async def test_answer_to_another_request_is_dropped(self):
        """An extra answer arrives on a connection before the expected one."""
        await self.begin()
        self.endpoint.faults.other_id = True
        self.send_offer()
        (failed,) = await self.messages_to_end()
        self.assertIs(errors.Ran.UNKNOWN, failed.ran)

    async def test_unsigned_success_fails_the_attempt(self):
        await self.begin()
        self.endpoint.faults.unsigned = True
        self.send_offer()
        (failed,) = await self.messages_to_end()
        self.assertIs(errors.Kind.ENDPOINT_FAILED, failed.kind)


class NotRunTest(direct_helper.DirectTestCase):
    async def test_refusal_of_a_full_endpoint_is_not_run(self):
        await self.begin()
        self.endpoint.faults.full = True
        self.send_offer()
        (failed,) = await self.messages_to_end()
        self.assertIs(errors.Ran.NOT_RUN, failed.ran)
        self.assertIs(errors.Kind.OVERLOADED, failed.kind)

    async def test_absent_adapter_and_other_instance_are_distinguished(self):
        await self.begin()
        model = messages.Header('Model', 'm/a9')
        self.send_offer(headers=(direct_helper.REQUEST_ID, model))
        (failed,) = await self.messages_to_end()
        self.assertIs(errors.Kind.ADAPTER_ABSENT, failed.kind)
        self.endpoint.restart('i-2')
        self.send_offer(number=2)
        (failed,) = await self.messages_to_end()
        self.assertIs(errors.Kind.ENDPOINT_REPLACED, failed.kind)
        self.assertIs(errors.Ran.NOT_RUN, failed.ran)

    async def test_refused_connection_is_not_run(self):
        self.address = '127.0.0.1:9'
        self.send_offer()
        (failed,) = await self.messages_to_end()
        self.assertIs(errors.Ran.NOT_RUN, failed.ran)

    async def test_version_listed_since_the_choice_is_checked(self):
        """Guards against a resumed stream at what was listed meanwhile."""
        await self.begin()
        self.software_version = 'v2'
        self.send_offer(software_version='v1')
        (failed,) = await self.messages_to_end()
        self.assertIs(errors.Kind.SOFTWARE_VERSION_GONE, failed.kind)
        self.assertIs(errors.Ran.NOT_RUN, failed.ran)
        self.assertEqual([], self.endpoint.ran)
        self.send_offer(number=2, software_version='v2')
        self.assertIsInstance((await self.messages_to_end())[-1], messages.End)

    async def test_interim_responses_without_end_fail_the_attempt(self):
        """Guards against requests held to their deadline by one endpoint."""
        self.raw = direct_helper.RawEndpoint(
            b'HTTP/1.1 102 Processing\r\n\r\n' * 1000, closes=False
        )
        await self.listen(self.raw)
        self.send_offer()
        (failed,) = await self.messages_to_end()
        self.assertIs(errors.Kind.ENGINE_RESTARTED, failed.kind)
        self.assertIs(errors.Ran.UNKNOWN, failed.ran)

    async def test_interim_response_before_the_answer_is_skipped(self):
        """Guards against an answer lost to a limit on what comes before."""
        interim = b'HTTP/1.1 102 Processing\r\n\r\n'
        final = RESPONSE_HEAD + b'Content-Length: 2\r\n\r\nab'
        self.raw = direct_helper.RawEndpoint(interim * 16 + final)
        await self.listen(self.raw)
        self.send_offer()
        told = await self.messages_to_end()
        self.assertEqual(200, told[0].status)
        self.assertIsInstance(told[-1], messages.End)

    async def test_no_answer_may_have_run(self):
        await self.begin_raw(b'', reset=True)
        self.send_offer()
        (failed,) = await self.messages_to_end()
        self.assertIs(errors.Ran.UNKNOWN, failed.ran)


class EndlessBytesTest(direct_helper.DirectTestCase):
    """Bytes that are no answer come until the connection is closed."""

    async def assert_closed(self):
        async with asyncio.timeout(direct_helper.HANG_S):
            await self.raw.gone.wait()
            while self.runs.runs:
                await asyncio.sleep(0.001)

    async def test_head_that_never_ends_fails_the_attempt(self):
        """Guards against requests held to their deadline by a slow head.

        Another endpoint may be free.
        """
        head = b'HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\n'
        self.raw = direct_helper.EndlessEndpoint(head, b'X', gap_s=0.02)
        await self.listen(self.raw)
        with mock.patch.object(outgoing, 'HEAD_TIMEOUT_MS', 200):
            self.send_offer()
            (failed,) = await self.messages_to_end()
        self.assertIs(errors.Ran.UNKNOWN, failed.ran)
        self.assertIn('too slow', failed.detail)
        await self.assert_closed()

    async def test_head_that_begins_late_is_awaited(self):
        """Guards against answers refused because their prompt is long."""
        self.raw = direct_helper.SlowEndpoint(
            RESPONSE_HEAD + b'Content-Length: 2\r\n\r\nok', wait_s=0.3
        )
        await self.listen(self.raw)
        with mock.patch.object(outgoing, 'HEAD_TIMEOUT_MS', 100):
            self.send_offer()
            told = await self.messages_to_end()
        self.assertIsInstance(told[-1], messages.End)

    async def test_unused_body_that_never_ends_is_not_read_on(self):
        """Guards against a body that is read for ever after a failure."""
        head = (
            b'HTTP/1.1 503 Busy\r\nRequest-Id: id-1\r\nNot-Executed: 1\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        chunk = b'1000\r\n' + b'x' * 4096 + b'\r\n'
        for gap_s in (0.0, 0.3):
            with self.subTest(gap_s=gap_s):
                self.raw = direct_helper.EndlessEndpoint(head, chunk, gap_s)
                await self.listen(self.raw)
                self.send_offer()
                (failed,) = await self.messages_to_end()
                self.assertIs(errors.Ran.NOT_RUN, failed.ran)
                await self.assert_closed()


class NoticeTest(direct_helper.DirectTestCase):
    """An endpoint's notices are read from every kind of answer.

    Guards against notices that are lost with an answer that is not relayed:
    a refusal, a failure, or an answer to another request.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.begin()

    async def notice_of(self, *rate_limits, **faults):
        """Return the notice in the answer to one request."""
        self.endpoint.faults = direct_endpoint.Faults(
            rate_limits=rate_limits, **faults
        )
        self.notices.clear()
        self.send_offer(another=True)
        await self.messages_to_end()
        return self.notices[0] if self.notices else None

    async def test_rate_limit_is_read_from_every_answer(self):
        for fault in (None, 'full', 'fails', 'cuts', 'other_id', 'unsigned'):
            with self.subTest(fault=fault):
                faults = {fault: True} if fault else {}
                notice = await self.notice_of('2.5', **faults)
                self.assertEqual(2.5, notice.rate_per_s)

    async def test_leaving_is_read_from_every_answer(self):
        for fault in (None, 'full', 'fails', 'cuts', 'other_id', 'unsigned'):
            with self.subTest(fault=fault):
                faults = {fault: True} if fault else {}
                notice = await self.notice_of(leaving=('1',), **faults)
                self.assertTrue(notice.leaving)

    async def test_only_one_value_means_leaving(self):
        for values in (('0',), ('yes',), ('1', '1'), ('',)):
            with self.subTest(values=values):
                notice = await self.notice_of(leaving=values)
                self.assertFalse(notice.leaving)
                self.assertTrue(notice.malformed)

    async def test_pause_is_read_from_refusals_only(self):
        for value, pause_ms in (('1.5', 1500), ('2', 2000), ('0.0004', 1)):
            with self.subTest(value=value):
                notice = await self.notice_of(full=True, pauses=(value,))
                self.assertEqual(pause_ms, notice.pause_ms)
        notice = await self.notice_of(pauses=('2',))
        self.assertEqual(0, notice.pause_ms)

    async def test_invalid_pause_is_ignored(self):
        for value in ('-1', '9' * 9, 'Thu, 03 Dec 2026 10:00:00 GMT', ''):
            with self.subTest(value=value):
                notice = await self.notice_of(full=True, pauses=(value,))
                self.assertEqual(0, notice.pause_ms)
                self.assertTrue(notice.malformed)

    async def test_only_an_answer_to_the_request_ends_a_rate_limit(self):
        for fault in (None, 'full', 'fails', 'cuts'):
            with self.subTest(fault=fault):
                faults = {fault: True} if fault else {}
                notice = await self.notice_of(**faults)
                self.assertTrue(notice.empty)
        for fault in ('other_id', 'unsigned'):
            with self.subTest(fault=fault):
                self.assertIsNone(await self.notice_of(**{fault: True}))

    async def test_notice_of_another_instance_is_ignored(self):
        self.endpoint.restart('i-2')
        self.assertIsNone(await self.notice_of('1'))

    async def test_invalid_rate_limit_is_ignored(self):
        for values in (
            ('-1',),
            ('',),
            ('1e3',),
            ('nan',),
            ('9' * 30,),
            ('1', '1'),
        ):
            with self.subTest(values=values):
                notice = await self.notice_of(*values)
                self.assertIsNone(notice.rate_per_s)
                self.assertTrue(notice.malformed)

    async def test_rate_limit_may_be_fractional_or_zero(self):
        for value, rate in (('0.25', 0.25), ('0', 0.0), ('7', 7.0)):
            with self.subTest(value=value):
                notice = await self.notice_of(value)
                self.assertEqual(rate, notice.rate_per_s)


class FailureTest(direct_helper.DirectTestCase):
    async def test_failure_is_relayed_unless_another_attempt_follows(self):
        await self.begin()
        self.endpoint.faults.fails = True
        self.send_offer()
        reported = await self.messages_to_end()
        self.assertEqual(500, reported[0].status)
        self.send_offer(number=2, another=True)
        (failed,) = await self.messages_to_end()
        self.assertIs(errors.Ran.RAN, failed.ran)

    async def test_exception_in_a_run_is_its_failure(self):
        """Guards against a request that waits for a run which has raised."""
        await self.begin()
        defect = ValueError('a defect')
        with mock.patch.object(
            self.runs.calls, 'send', autospec=True, side_effect=defect
        ):
            self.send_offer()
            (failed,) = await self.messages_to_end()
        self.assertIs(errors.Kind.INTERNAL, failed.kind)
        self.assertIs(errors.Ran.UNKNOWN, failed.ran)

    async def test_cancel_ends_the_run_at_the_endpoint(self):
        await self.begin()
        self.endpoint.faults.hangs = True
        self.send_offer()
        async with asyncio.timeout(direct_helper.HANG_S):
            while not self.endpoint.ran:
                await asyncio.sleep(0.001)
            self.runs.handle_message('i-1', messages.Cancel('r1.1'))
            while not self.endpoint.gone:
                await asyncio.sleep(0.001)
        self.assertEqual(['id-1'], self.endpoint.gone)


class HeaderTest(direct_helper.DirectTestCase):
    async def test_system_headers_of_callers_are_not_forwarded(self):
        """Guards against callers that set headers reserved for the system.

        They could reserve memory, reuse another request's memory, or choose
        the endpoint and version themselves.
        """
        await self.begin_raw(RESPONSE_HEAD + b'Content-Length: 0\r\n\r\n')
        system_headers = [
            ('Hold', 'h'),
            ('Pin-Ms', '9'),
            ('Kv-From', '1.2.3.4:5/x'),
            ('Expect-Instance', 'i-9'),
            ('Expect-Version', '9'),
            ('Request-Priority', '0'),
            ('Deadline-Ms', '999999'),
            ('X-Other', 'kept'),
        ]
        headers = tuple(messages.Header(*pair) for pair in system_headers)
        self.send_offer(headers=headers, remaining_ms=1234, priority=2)
        await self.messages_to_end()
        lines = self.raw.received.decode().lower().split('\r\n')
        received_headers = dict(
            line.split(': ', 1) for line in lines[1:] if line
        )
        self.assertEqual('i-1', received_headers['expect-instance'])
        self.assertEqual('1234', received_headers['deadline-ms'])
        self.assertEqual('kept', received_headers['x-other'])
        self.assertEqual('h.example', received_headers['host'])
        for name in ('hold', 'pin-ms', 'kv-from', 'expect-version'):
            self.assertNotIn(name, received_headers)
        self.assertEqual('6', received_headers['request-priority'])
