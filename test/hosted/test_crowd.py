"""More adapters are asked for at once than the endpoints have slots.

The pattern and the grounds for its figures stand in ``crowd.Load``. Shares
are means over three seeds of the same load, 12 s each.
"""

import functools
import statistics
import unittest
from unittest import mock

from berylhollow.gateway import _adapters
from berylhollow.policy import _direct_router
from test.hosted import crowd

SEEDS = range(3)
DURATION_MS = 12_000
FORMER_IDLE_MS = 300
FORMER_FETCH_MS = 400.0


def outcomes(**sidecar_options):
    return [
        crowd.Crowd(
            crowd.Load(seed=seed, duration_ms=DURATION_MS), **sidecar_options
        ).run()
        for seed in SEEDS
    ]


@functools.cache
def as_shipped():
    return outcomes()


def timely(played):
    return statistics.mean(outcome.timely_share for outcome in played)


class CrowdTest(unittest.TestCase):
    def test_most_callers_are_answered_on_time(self):
        self.assertGreater(timely(as_shipped()), 0.82)

    def test_slot_that_falls_free_is_heard_of_at_once(self):
        """Without word of it a slot stands empty for up to 400 ms.

        Buys seven requests in a hundred that are answered on time.
        """
        with mock.patch.object(_adapters, '_report_use_change', autospec=True):
            unheard = outcomes()
        self.assertGreater(timely(as_shipped()), timely(unheard) + 0.03)

    def test_idle_adapter_is_not_kept_for_long(self):
        """An adapter that was just used may be asked for again at once.

        Kept for 300 ms on that ground, an eighth of all slots stood idle
        while requests waited for them.
        """
        kept = outcomes(idle_ms=FORMER_IDLE_MS)
        self.assertGreater(timely(as_shipped()), timely(kept) + 0.02)

    def test_request_stays_with_its_endpoint_for_a_while(self):
        """Where every slot is in use, one falls free soon.

        A request that moved on at once had its adapter fetched elsewhere,
        though its own endpoint could have loaded it again quickly.
        """
        with mock.patch.object(_direct_router, 'FETCH_MS', FORMER_FETCH_MS):
            hasty = outcomes()
        self.assertLess(
            sum(outcome.fetched for outcome in as_shipped()),
            sum(outcome.fetched for outcome in hasty),
        )
