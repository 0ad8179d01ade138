"""Tests of where an event stream ends."""

import unittest

from berylhollow import answer_body
from test import event_streams


def end_of(*parts):
    end = answer_body.EventStreamEnd()
    for part in parts:
        end.add(part)
    return end


class EventStreamEndTest(unittest.TestCase):
    def test_whole_streams_end_between_events(self):
        for name, stream in event_streams.WHOLE.items():
            with self.subTest(name):
                self.assertFalse(end_of(stream).is_inside_event)

    def test_cut_streams_end_inside_an_event(self):
        for name, stream in event_streams.CUT.items():
            with self.subTest(name):
                self.assertTrue(end_of(stream).is_inside_event)

    def test_end_does_not_depend_on_the_parts(self):
        """Guards against a line end that is split between two reads."""
        streams = event_streams.WHOLE | event_streams.CUT
        for name, stream in streams.items():
            parts = [stream[i : i + 1] for i in range(len(stream))]
            with self.subTest(name):
                self.assertEqual(
                    end_of(stream).is_inside_event,
                    end_of(*parts).is_inside_event,
                )

    def test_event_longer_than_the_tail(self):
        long_event = b'data: ' + b'x' * 3 * answer_body.TAIL_BYTES
        self.assertTrue(end_of(long_event + b'\n').is_inside_event)
        self.assertFalse(end_of(long_event, b'\n\n').is_inside_event)

    def test_comments_are_no_event(self):
        self.assertFalse(end_of(b': waiting\n\n', b': waiting\n').has_event)
        self.assertTrue(end_of(b': waiting\n\n', b'data: a\n\n').has_event)
