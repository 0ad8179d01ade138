"""Attempts at endpoints that take requests directly."""

import asyncio

from berylhollow import errors
from berylhollow import messages
from berylhollow.standin import direct_endpoint
from test.hosted import direct_helper

HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nServer-Seal: s\r\n'
    b'Content-Type: text/plain\r\n'
)


class AnswerTest(direct_helper.DirectTestCase):
    async def test_whole_answer_is_passed_on(self):
        await self.begin()
        self.send(body=b'hello')
        told = await self.all()
        self.assertEqual(200, told[0].status)
        payload = b''.join(
            m.payload for m in told if isinstance(m, messages.Data)
        )
        self.assertEqual(b''.join(self.endpoint.events), payload)
        (ran,) = self.endpoint.ran
        self.assertEqual(('/a/%2Fb?c=d', b'hello'), (ran.path, ran.body))

    async def test_reset_body_without_length_is_not_whole(self):
        """An answer without a length ends with its connection.

        The endpoint crashes half way and its connection is reset. Taken for
        the end of the body, the caller gets a cut answer that looks whole.
        """
        await self.begin_raw(HEAD + b'\r\nhalf of it', reset=True)
        self.send()
        told = await self.all()
        self.assertIsInstance(told[-1], messages.Failed)
        self.assertIs(errors.Kind.STREAM_BROKEN, told[-1].kind)

    async def test_closed_body_without_length_is_whole(self):
        await self.begin_raw(HEAD + b'\r\nall of it')
        self.send()
        told = await self.all()
        self.assertIsInstance(told[-1], messages.End)

    async def test_short_body_is_not_whole(self):
        await self.begin_raw(HEAD + b'Content-Length: 20\r\n\r\nhalf')
        self.send()
        self.assertIsInstance((await self.all())[-1], messages.Failed)

    async def test_answer_to_another_request_is_dropped(self):
        """An extra answer arrives where the next one is expected."""
        await self.begin()
        self.endpoint.faults.other_id = True
        self.send()
        (failed,) = await self.all()
        self.assertIs(errors.Ran.UNKNOWN, failed.ran)

    async def test_unsigned_success_is_none(self):
        await self.begin()
        self.endpoint.faults.unsigned = True
        self.send()
        (failed,) = await self.all()
        self.assertIs(errors.Kind.ENDPOINT_FAILED, failed.kind)


class NotRunTest(direct_helper.DirectTestCase):
    async def test_full_endpoint_says_that_it_did_not_run(self):
        await self.begin()
        self.endpoint.faults.full = True
        self.send()
        (failed,) = await self.all()
        self.assertIs(errors.Ran.NOT_RUN, failed.ran)
        self.assertIs(errors.Kind.OVERLOADED, failed.kind)

    async def test_absent_adapter_and_other_instance_are_told_apart(self):
        await self.begin()
        model = messages.Header('Model', 'm/a9')
        self.send(headers=(direct_helper.REQUEST_ID, model))
        (failed,) = await self.all()
        self.assertIs(errors.Kind.ADAPTER_ABSENT, failed.kind)
        self.endpoint.restart('i-2')
        self.send(number=2)
        (failed,) = await self.all()
        self.assertIs(errors.Kind.ENDPOINT_REPLACED, failed.kind)
        self.assertIs(errors.Ran.NOT_RUN, failed.ran)

    async def test_refused_connection_is_not_run(self):
        self.address = '127.0.0.1:9'
        self.send()
        (failed,) = await self.all()
        self.assertIs(errors.Ran.NOT_RUN, failed.ran)

    async def test_no_answer_may_have_run(self):
        await self.begin_raw(b'', reset=True)
        self.send()
        (failed,) = await self.all()
        self.assertIs(errors.Ran.UNKNOWN, failed.ran)


class NoticeTest(direct_helper.DirectTestCase):
    """What an endpoint says of itself counts on every kind of answer.

    Guards against an endpoint whose word is dropped with an answer that is
    not passed on: a refusal, a failure, one that came for another request.
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
        self.send(another=True)
        await self.all()
        return self.notices[0] if self.notices else None

    async def test_limit_is_read_on_every_answer(self):
        for fault in (None, 'full', 'fails', 'cuts', 'other_id', 'unsigned'):
            with self.subTest(fault=fault):
                faults = {fault: True} if fault else {}
                notice = await self.notice_of('2.5', **faults)
                self.assertEqual(2.5, notice.rate_per_s)

    async def test_leaving_is_read_on_every_answer(self):
        for fault in (None, 'full', 'fails', 'cuts', 'other_id', 'unsigned'):
            with self.subTest(fault=fault):
                faults = {fault: True} if fault else {}
                notice = await self.notice_of(leaving=('1',), **faults)
                self.assertTrue(notice.leaving)

    async def test_only_one_word_means_leaving(self):
        for values in (('0',), ('yes',), ('1', '1'), ('',)):
            with self.subTest(values=values):
                notice = await self.notice_of(leaving=values)
                self.assertFalse(notice.leaving)
                self.assertTrue(notice.malformed)

    async def test_pause_is_read_of_refusals_alone(self):
        for value, pause_ms in (('1.5', 1500), ('2', 2000), ('0.0004', 1)):
            with self.subTest(value=value):
                notice = await self.notice_of(full=True, pauses=(value,))
                self.assertEqual(pause_ms, notice.pause_ms)
        notice = await self.notice_of(pauses=('2',))
        self.assertEqual(0, notice.pause_ms)

    async def test_what_is_no_pause_asks_for_none(self):
        for value in ('-1', '9' * 9, 'Thu, 03 Dec 2026 10:00:00 GMT', ''):
            with self.subTest(value=value):
                notice = await self.notice_of(full=True, pauses=(value,))
                self.assertEqual(0, notice.pause_ms)
                self.assertTrue(notice.malformed)

    async def test_only_the_own_answer_ends_a_limit(self):
        for fault in (None, 'full', 'fails', 'cuts'):
            with self.subTest(fault=fault):
                faults = {fault: True} if fault else {}
                notice = await self.notice_of(**faults)
                self.assertTrue(notice.empty)
        for fault in ('other_id', 'unsigned'):
            with self.subTest(fault=fault):
                self.assertIsNone(await self.notice_of(**{fault: True}))

    async def test_another_instance_says_nothing_of_this_one(self):
        self.endpoint.restart('i-2')
        self.assertIsNone(await self.notice_of('1'))

    async def test_what_is_no_limit_says_nothing(self):
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

    async def test_limit_below_one_and_not_whole(self):
        for value, rate in (('0.25', 0.25), ('0', 0.0), ('7', 7.0)):
            with self.subTest(value=value):
                notice = await self.notice_of(value)
                self.assertEqual(rate, notice.rate_per_s)


class FailureTest(direct_helper.DirectTestCase):
    async def test_failure_is_passed_on_unless_another_run_follows(self):
        await self.begin()
        self.endpoint.faults.fails = True
        self.send()
        told = await self.all()
        self.assertEqual(500, told[0].status)
        self.send(number=2, another=True)
        (failed,) = await self.all()
        self.assertIs(errors.Ran.RAN, failed.ran)

    async def test_cancel_ends_the_run_at_the_endpoint(self):
        await self.begin()
        self.endpoint.faults.hangs = True
        self.send()
        async with asyncio.timeout(direct_helper.HANG_S):
            while not self.endpoint.ran:
                await asyncio.sleep(0.001)
            self.runs.take('i-1', messages.Cancel('r1.1'))
            while not self.endpoint.gone:
                await asyncio.sleep(0.001)
        self.assertEqual(['id-1'], self.endpoint.gone)


class HeaderTest(direct_helper.DirectTestCase):
    async def test_what_only_the_system_may_set_is_never_the_callers(self):
        """A caller that sets the system's headers must not reach with them.

        It could reserve memory, go on from another request's memory, or
        name the endpoint and version itself.
        """
        await self.begin_raw(HEAD + b'Content-Length: 0\r\n\r\n')
        forged = [
            ('Hold', 'h'),
            ('Pin-Ms', '9'),
            ('Kv-From', '1.2.3.4:5/x'),
            ('Expect-Instance', 'i-9'),
            ('Expect-Version', '9'),
            ('Request-Priority', '0'),
            ('Deadline-Ms', '999999'),
            ('X-Other', 'kept'),
        ]
        headers = tuple(messages.Header(*pair) for pair in forged)
        self.send(headers=headers, remaining_ms=1234, priority=2)
        await self.all()
        lines = self.raw.received.decode().lower().split('\r\n')
        got = dict(line.split(': ', 1) for line in lines[1:] if line)
        self.assertEqual('i-1', got['expect-instance'])
        self.assertEqual('1234', got['deadline-ms'])
        self.assertEqual('kept', got['x-other'])
        self.assertEqual('h.example', got['host'])
        for name in ('hold', 'pin-ms', 'kv-from', 'expect-version'):
            self.assertNotIn(name, got)
        self.assertEqual('6', got['request-priority'])
