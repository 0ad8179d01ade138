"""A short run of the search over orders of events, the same each time."""

import unittest
from unittest import mock

from tools.matrix import _search

WALKS = 60
"""About four seconds: one walk takes 70 ms."""


class SearchTest(unittest.TestCase):
    def test_no_walk_breaks_a_promise(self):
        for seed in range(WALKS):
            with self.subTest(seed=seed):
                steps = _search.walk(seed)
                self.assertEqual([], _search.play(steps), steps)

    def test_same_number_gives_same_walk(self):
        self.assertEqual(_search.walk(7), _search.walk(7))
        self.assertNotEqual(_search.walk(7), _search.walk(8))

    def test_link_that_was_down_is_tried_again(self):
        """A link is down for 2.5 s while its engine hangs.

        The gateway backs off from it, so it comes back up to one pause after
        both are well again; the callers get answers from then on.
        """
        steps = [
            _search.Strike('link down', 'e1', 'g1'),
            _search.Strike('engine hang', 'e1', 'g1'),
        ]
        self.assertEqual([], _search.play(steps))

    def test_link_to_a_sidecar_that_slept_is_tried_again(self):
        """A sidecar is told to stop, then frozen for 2.5 s.

        Links to it are refused all that time; its successor is reached once
        the gateways' pause has ended.
        """
        steps = [_search.Strike('append answer lost', 'e1', 'g1')] * 13 + [
            _search.Strike('endpoint leaving', 'e1', 'g1'),
            _search.Strike('sidecar paused for long', 'e1', 'g1'),
        ]
        self.assertEqual([], _search.play(steps))

    def test_successor_of_a_leaving_sidecar_is_used(self):
        """An endpoint leaves while its sidecar is frozen and replaced.

        The instance list said that it leaves; it must say that the successor
        lives, or nobody ever sends to it.
        """
        for endpoint in ('e1', 'p1'):
            with self.subTest(endpoint=endpoint):
                steps = [
                    _search.Strike('endpoint leaving', endpoint, 'g2'),
                    _search.Strike(
                        'sidecar paused, then replaced', endpoint, 'g2'
                    ),
                ]
                self.assertEqual([], _search.play(steps))


class ShrinkTest(unittest.TestCase):
    def test_only_steps_that_are_needed_are_left(self):
        needed = {_search.Wait(3), _search.Wait(50)}
        steps = [_search.Wait(pause_ms) for pause_ms in (1, 3, 10, 50, 200)]

        def play(steps: list[_search.Step]) -> list[str]:
            return ['broken'] if needed <= set(steps) else []

        with mock.patch.object(_search, 'play', play):
            left = _search.shrink(steps)
        self.assertEqual([_search.Wait(3), _search.Wait(50)], left)
