"""Loads of prompts beside answers that an engine generates."""

import statistics
import unittest
import unittest.mock

from berylhollow import admission
from test.admission import engine_steps

LASTS_MS = 30_000
SEEDS = range(4)
MAX_LATE_SHARE = 0.05
MAX_FLOOD_FACTOR = 1.1
WORKSPACES = 8


def mean_wait(flood):
    """Return the mean wait of all workspaces but the first, at half load.

    A request that is given up counts with its deadline.
    """
    share = 0.5 / WORKSPACES
    waits = []
    for seed in SEEDS:
        requests = []
        for number in range(WORKSPACES):
            requests += engine_steps.arrivals(
                share * (1 if number else flood),
                LASTS_MS,
                seed,
                f'w{number}',
            )
        engine_steps.Engine().run(requests, LASTS_MS + 5000)
        waits += [
            one.granted_ms - one.arrived_ms
            if one.granted_ms >= 0
            else engine_steps.DEADLINE_MS
            for one in requests
            if one.workspace != 'w0'
        ]
    return statistics.mean(waits)


class LoadTest(unittest.TestCase):
    def late_share(self, load, pace=1.0):
        late = answers = 0
        for seed in SEEDS:
            requests = engine_steps.arrivals(load / pace, LASTS_MS, seed)
            engine = engine_steps.Engine(pace)
            engine.run(requests, LASTS_MS)
            for answer in engine.long_answers + requests:
                if answer.last_event_ms >= 0:
                    answers += 1
                    late += answer.longest_gap_ms > engine_steps.EVENT_GAP_MS
        return late / answers

    def test_answers_keep_their_gap_beside_prompts(self):
        """Of 100 answers 49 and 72 had a gap if all is sent on arrival."""
        for load in (0.5, 0.8):
            with self.subTest(load=load):
                self.assertLessEqual(self.late_share(load), MAX_LATE_SHARE)

    def test_saturated_engine_goes_on_reading(self):
        """A wait after each batch besides its first event lost a fifth."""
        requests = engine_steps.arrivals(1.5, LASTS_MS, 1)
        engine_steps.Engine().run(requests, LASTS_MS)
        read = sum(one.tokens for one in requests if one.begun_ms >= 0)
        full = engine_steps.FULL_READ_TOKENS_PER_MS * LASTS_MS
        self.assertGreater(read / full, 0.8)

    def test_pace_of_a_slow_endpoint_is_measured(self):
        """An endpoint of 1.7 times the pace got batches for a mean one."""
        engine = engine_steps.Engine(1.7)
        requests = engine_steps.arrivals(0.8 / 1.7, LASTS_MS, 1)
        engine.run(requests, LASTS_MS)
        actual_ms = 1.7 / engine_steps.FULL_READ_TOKENS_PER_MS
        measured_ms = engine.admissions.token_ms
        self.assertGreater(measured_ms, 0.95 * actual_ms)
        self.assertLess(measured_ms, 1.3 * actual_ms)

    def test_flood_of_one_workspace_does_not_delay_the_others(self):
        """One workspace sends six times its usual and delays the others."""
        self.assertLessEqual(
            mean_wait(flood=6), MAX_FLOOD_FACTOR * mean_wait(flood=1)
        )

    def test_flood_is_put_behind_others(self):
        """The others waited longer if no workspace is put behind."""
        ordered = mean_wait(flood=6)
        with unittest.mock.patch.object(
            admission.WorkspaceShares, 'excess_ms', lambda *_: 0.0
        ):
            self.assertLess(ordered, 0.9 * mean_wait(flood=6))
