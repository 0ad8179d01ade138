"""Gateways and sidecars that admit prompts, while processes fail."""

import collections
import unittest

from test.hosted import admitted_crowd
from test.hosted import crowd

SEEDS = range(4)
MOST_MS = admitted_crowd.DEADLINE_MS + crowd.TICK_MS


def load(seed, adapters=crowd.SLOTS):
    """Return seven groups of three a second, three quarters of what is read.

    With as many adapters as slots of an endpoint most requests wait for
    admission only. With more they wait for loads as well.
    """
    return crowd.Load(
        seed=seed,
        duration_ms=14_000,
        requests_per_s=7.0,
        adapters=adapters,
        shift_ms=100_000,
        endpoints=3,
    )


class JointTest(unittest.TestCase):
    def assert_settled(self, played):
        """Check that all is answered once and in time, and nothing is kept."""
        self.assertGreater(len(played.arrived), 200)
        for request_id, arrived_ms in played.arrived.items():
            answers = played.answers[request_id]
            if request_id in played.lost:
                self.assertEqual([], answers)
                continue
            self.assertEqual(1, len(answers), request_id)
            self.assertLessEqual(answers[0].at_ms - arrived_ms, MOST_MS)
            self.assertLessEqual(played.runs[request_id], 1)
            if answers[0].ran is admitted_crowd.NOT_RUN:
                self.assertEqual(0, played.runs[request_id], request_id)
        for sidecar in played.sidecars.values():
            admissions = sidecar.admissions
            self.assertEqual(0, admissions.waiting)
            self.assertEqual({}, admissions.budget.granted)
            self.assertEqual({}, admissions.keys_by_gateway)
        for state in played.gateways.values():
            self.assertEqual({}, state.requests)
            self.assertFalse(any(state.awaiting_adapter.values()))
            for endpoint in state.endpoints.values():
                self.assertEqual(0, endpoint.waiting_tokens)
        self.assertFalse(any(played.unended.values()))

    def test_every_admission_ends_without_failures(self):
        """Guards against grants that only their expiry ends."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                played = admitted_crowd.AdmittedCrowd(load(seed))
                played.run()
                self.assert_settled(played)
                self.assertGreater(played.outcomes['waited'], 50)
                self.assertEqual(0, played.outcomes['expired'])
                self.assertEqual(0, played.outcomes['no answer'])

    def test_processes_that_fail_leave_nothing_waiting_or_granted(self):
        """Guards against requests and grants that a failure leaves behind.

        One sidecar stands still for 1 s or 4 s, another one is restarted, a
        gateway is killed while requests wait, and an endpoint is restarted.
        """
        outcomes = collections.Counter()
        for seed in SEEDS:
            with self.subTest(seed=seed):
                adapters = (crowd.SLOTS, 5 * crowd.SLOTS)[seed // 2]
                played = admitted_crowd.AdmittedCrowd(load(seed, adapters))
                for_ms = (1000, 4000)[seed % 2]
                played.at(3000, played.freeze_sidecar, 0, for_ms)
                played.at(4500, played.restart_sidecar, 1)
                played.at(7500, played.kill_gateway)
                played.at(9000, played.restart_endpoint, 2, seed % 2 == 0)
                played.run()
                self.assert_settled(played)
                self.assertEqual(3, len(played.gateways))
                self.assertEqual(0, played.granted_to_killed)
                self.assertGreater(played.outcomes['waited'], 50)
                outcomes += played.outcomes
        # Requests did meet the sidecar that stood still.
        self.assertGreater(outcomes['no answer'], 0)
