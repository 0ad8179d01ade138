"""Tests of event streams of direct endpoints that end in every framing."""

from berylhollow import errors
from berylhollow import messages
from test import event_streams
from test.hosted import direct_helper


class StreamEndTest(direct_helper.DirectTestCase):
    async def outcome_of(self, answer, **changes):
        """Return the last message about an attempt with this answer."""
        await self.begin_raw(answer, **changes)
        self.send_offer()
        return (await self.messages_to_end())[-1]

    async def test_stream_that_ends_inside_an_event_is_broken_off(self):
        """Guards against truncated streams that look complete.

        An endpoint crashes inside an event and its connection is closed, or
        a process before it ends the body properly.
        """
        for name, framing, answer in event_streams.framed(event_streams.CUT):
            with self.subTest(name, framing=framing):
                outcome = await self.outcome_of(answer)
                self.assertIsInstance(outcome, messages.Failed)
                self.assertIs(errors.Kind.STREAM_BROKEN, outcome.kind)
                self.assertIs(errors.Ran.UNKNOWN, outcome.ran)

    async def test_whole_stream_is_served(self):
        streams = dict(event_streams.WHOLE)
        del streams['only comments']
        for name, framing, answer in event_streams.framed(streams):
            with self.subTest(name, framing=framing):
                outcome = await self.outcome_of(answer)
                self.assertIsInstance(outcome, messages.End)

    async def test_stream_without_length_or_event_is_broken_off(self):
        """Guards against an endpoint that crashes before its first event."""
        for stream in (b'', event_streams.WHOLE['only comments']):
            answers = event_streams.answers(stream)
            for framing in ('no length', 'HTTP/1.0'):
                with self.subTest(stream, framing=framing):
                    outcome = await self.outcome_of(answers[framing])
                    self.assertIsInstance(outcome, messages.Failed)

    async def test_framed_stream_without_an_event_is_served(self):
        for framing in ('length', 'chunks'):
            with self.subTest(framing):
                answer = event_streams.answers(b'')[framing]
                outcome = await self.outcome_of(answer)
                self.assertIsInstance(outcome, messages.End)

    async def test_reset_stream_is_broken_off_between_events_too(self):
        answers = event_streams.answers(event_streams.EVENT)
        outcome = await self.outcome_of(answers['no length'], reset=True)
        self.assertIs(errors.Kind.STREAM_BROKEN, outcome.kind)

    async def test_compressed_stream_is_not_searched_for_events(self):
        answer = event_streams.answers(b'\x1f\x8b\x08')['length'].replace(
            b'Server-Seal: s', b'Server-Seal: s\r\nContent-Encoding: gzip'
        )
        outcome = await self.outcome_of(answer)
        self.assertIsInstance(outcome, messages.End)


class EndpointEndTest(direct_helper.DirectTestCase):
    """An answer without a length, from an endpoint that lives or has ended.

    Guards against endpoints that crash between two events, or in a plain
    body: the bytes are those of a complete answer.
    """

    async def outcome_from(self, endpoint, content_type=b'text/event-stream'):
        self.raw = endpoint
        self.raw.answer = self.raw.answer.replace(
            b'text/event-stream', content_type
        )
        await self.listen(endpoint)
        self.send_offer()
        return (await self.messages_to_end())[-1]

    def answer(self):
        return event_streams.answers(event_streams.EVENT)['no length']

    async def test_endpoint_that_ends_with_its_answer_crashed(self):
        for content_type in (b'text/event-stream', b'text/plain'):
            with self.subTest(content_type):
                endpoint = direct_helper.RawEndpoint(self.answer(), ends=True)
                outcome = await self.outcome_from(endpoint, content_type)
                self.assertIsInstance(outcome, messages.Failed)
                self.assertIs(errors.Kind.STREAM_BROKEN, outcome.kind)

    async def test_endpoint_that_accepts_a_connection_lives(self):
        endpoint = direct_helper.RawEndpoint(self.answer())
        outcome = await self.outcome_from(endpoint)
        self.assertIsInstance(outcome, messages.End)
        self.assertEqual(2, endpoint.connections)

    async def test_endpoint_with_another_open_connection_lives(self):
        held = direct_helper.RawEndpoint(b'', hangs=True)
        await self.listen(held)
        self.send_offer(number=7)
        await held.arrived.wait()
        held.answer, held.hangs = self.answer(), False
        held.stops_listening = True
        self.send_offer()
        outcome = (await self.messages_to_end())[-1]
        self.assertIsInstance(outcome, messages.End)
        self.assertEqual(3, held.connections)

    async def test_paused_connection_does_not_show_that_it_lives(self):
        """Guards against slow readers who hide that their endpoint crashed."""
        held = direct_helper.RawEndpoint(b'', hangs=True)
        await self.listen(held)
        self.send_offer(number=7)
        await held.arrived.wait()
        (connection,) = self.runs.calls.session.connector._acquired
        connection.transport.pause_reading()
        held.answer, held.hangs, held.ends = self.answer(), False, True
        self.send_offer()
        outcome = (await self.messages_to_end())[-1]
        self.assertIsInstance(outcome, messages.Failed)
        self.assertIs(errors.Kind.STREAM_BROKEN, outcome.kind)

    async def test_endpoint_removed_at_short_notice_is_gone_at_any_time(self):
        """Guards against a cut answer of one that leaves, taken for whole."""
        self.leaving = True
        self.removed_in_ms = 2000
        endpoint = direct_helper.RawEndpoint(self.answer(), ends=True)
        outcome = await self.outcome_from(endpoint)
        self.assertIsInstance(outcome, messages.Failed)
        self.assertIs(errors.Kind.STREAM_BROKEN, outcome.kind)

    async def test_last_answer_before_a_removal_is_whole(self):
        """Guards against whole answers broken off while the time runs."""
        self.leaving = True
        self.removed_in_ms = 2000
        outcome = await self.outcome_from(
            direct_helper.RawEndpoint(self.answer())
        )
        self.assertIsInstance(outcome, messages.End)

    async def test_leaving_endpoint_that_crashes_leaves_no_whole_answer(self):
        """Guards against cut answers of one that leaves, taken for whole.

        Both of its answers end together with it.
        """
        self.leaving = True
        held = direct_helper.RawEndpoint(self.answer(), closes=False)
        await self.listen(held)
        self.send_offer(number=7)
        self.send_offer(number=8)
        told = [await self.next_message() for _ in range(4)]
        self.assertNotIn(messages.End, map(type, told))
        held.end()
        outcomes = [await self.next_message() for _ in range(2)]
        for outcome in outcomes:
            self.assertIsInstance(outcome, messages.Failed)
            self.assertIs(errors.Kind.STREAM_BROKEN, outcome.kind)

    async def test_crash_is_seen_by_the_answers_in_chunks(self):
        """Guards against one cut answer taken for the last of all.

        The other answer has chunks, so that it is known to be cut at once.
        """
        self.leaving = True
        answers = event_streams.answers(event_streams.EVENT)
        chunks = answers['chunks'].removesuffix(b'0\r\n\r\n')
        self.assertNotEqual(chunks, answers['chunks'])
        endpoint = direct_helper.RawEndpoint(chunks, closes=False)
        await self.listen(endpoint)
        self.send_offer(number=7)
        told = [await self.next_message() for _ in range(2)]
        endpoint.answer = answers['no length']
        self.send_offer(number=8)
        told += [await self.next_message() for _ in range(2)]
        self.assertNotIn(messages.End, map(type, told))
        endpoint.end()
        for _ in range(2):
            outcome = await self.next_message()
            self.assertIsInstance(outcome, messages.Failed)

    async def test_leaving_endpoint_serves_its_last_answers(self):
        """Guards against whole answers of one that leaves, broken off."""
        self.leaving = True
        endpoint = direct_helper.RawEndpoint(self.answer(), closes=False)
        await self.listen(endpoint)
        self.send_offer(number=7)
        told = [await self.next_message() for _ in range(2)]
        self.assertNotIn(messages.End, map(type, told))
        endpoint.closes = True
        self.send_offer(number=8)
        self.assertIsInstance((await self.messages_to_end())[-1], messages.End)
        endpoint.end()
        self.assertIsInstance(await self.next_message(), messages.End)

    async def test_leaving_endpoint_may_end_after_its_answer(self):
        self.leaving = True
        endpoint = direct_helper.RawEndpoint(self.answer(), ends=True)
        outcome = await self.outcome_from(endpoint)
        self.assertIsInstance(outcome, messages.End)


class NextStartTest(direct_helper.DirectTestCase):
    """Guards against the next start at an address, taken for the last one."""

    async def test_answer_cut_by_a_crash_is_broken_off_after_a_restart(self):
        """Guards against cut answers that pass for complete ones.

        The endpoint crashes between two events or in a plain body, and its
        next start listens at the same address at once.
        """
        answer = event_streams.answers(event_streams.EVENT)['no length']
        for content_type in (b'text/event-stream', b'text/plain'):
            with self.subTest(content_type):
                cut = answer.replace(b'text/event-stream', content_type)
                endpoint = direct_helper.RawEndpoint(cut, closes=False)
                await self.listen(endpoint)
                self.send_offer()
                told = [await self.next_message() for _ in range(2)]
                self.assertNotIn(messages.End, map(type, told))
                next_start = direct_helper.RawEndpoint(answer)
                await self.restart(endpoint, next_start)
                outcome = (await self.messages_to_end())[-1]
                self.assertIsInstance(outcome, messages.Failed)
                self.assertIs(errors.Kind.STREAM_BROKEN, outcome.kind)
