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
