"""What the play of resumed streams counts as broken: each can be shown."""

import dataclasses
import unittest

from tools.soak import _schedule
from tools.soak import _streams
from tools.soak import restarts

SENT = 100.0
HALF = _streams.EVENTS // 2
STOPPED = 200.0


def _stream(**changes) -> _streams.Stream:
    """Return a stream that broke in its middle and was taken up again."""
    first = _streams.Try('a', 'g0', 1, SENT, SENT + 1, 200, HALF)
    again = _streams.Try(
        'b', 'g1', HALF + 1, SENT + 1, SENT + 2, 200, HALF, is_whole=True
    )
    received = [(number, 'v1') for number in range(1, _streams.EVENTS + 1)]
    return _streams.Stream(
        [first, dataclasses.replace(again, **changes)], received
    )


class FindBrokenTest(unittest.TestCase):
    def setUp(self):
        self.faults = [_schedule.Fault('kill', 'p0', SENT + 0.9, SENT + 0.95)]

    def check(self, stream: _streams.Stream, *titles: str) -> None:
        broken = restarts.find_broken([stream], self.faults, STOPPED)
        self.assertEqual(
            list(titles), [title for title, x in broken.items() if x]
        )

    def test_stream_that_was_taken_up_again(self):
        self.check(_stream())

    def test_complete_before_the_last_event(self):
        self.check(_stream(got=HALF - 1), 'complete before the last event')

    def test_whole_but_broken_off_without_a_fault(self):
        self.check(_stream(is_whole=False, ended=SENT + 1.5))
        self.check(
            _stream(is_whole=False, ended=SENT + 3),
            'whole but broken off in calm',
        )

    def test_caller_who_leaves_before_the_end(self):
        """Only one who leaves right after the last event saw no fault."""
        left = {'is_whole': False, 'ended': SENT + 3, 'has_left': True}
        self.check(_stream(**left, last_at=SENT + 2.9))
        self.check(
            _stream(**left, last_at=SENT + 2),
            'whole but broken off in calm',
        )

    def test_event_of_another_version(self):
        stream = _stream()
        stream.received[-1] = (_streams.EVENTS, 'v2')
        self.check(stream, 'of two versions')

    def test_event_that_comes_twice_or_is_missing(self):
        for number in (HALF, HALF + 2):
            stream = _stream()
            stream.received[HALF] = (number, 'v1')
            self.check(stream, 'out of order, missing or doubled')

    def test_pieces_of_two_runs_in_one_answer(self):
        self.check(_stream(is_joined=True), 'joined from two runs')

    def test_answers_after_the_end_of_the_play(self):
        self.check(_stream(got=1, ended=STOPPED + 1))
