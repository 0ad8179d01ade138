"""Tests of routing to endpoints that queue requests and reload quickly.

The load is many adapters of heavily skewed popularity on a few endpoints with
six slots each: more adapters in use than slots, prompts of about 1,800 tokens
that take 100 ms to prefill. A fetch takes 250 ms, a reload 25 ms, a run about
a second.
"""

import unittest

from berylhollow import policy
from test import builders
from test.policy import fleets

ADAPTER = builders.adapter('m/a1')


def query(adapter=ADAPTER, seed=0.5):
    return policy.RouteQuery(
        adapter=adapter,
        caller='',
        priority=1,
        remaining_ms=5000,
        output_tokens=22,
        weights=policy.Weights(),
        seed=seed,
    )


def view(name, backlog_ms=0.0, **changes):
    return fleets.view(name, backlog_ms=backlog_ms, in_flight=0, **changes)


def choose(fleet, **changes):
    router = policy.create_policy('quick-reload').router
    return router.choose(query(**changes), fleet)


class HolderTest(unittest.TestCase):
    def test_holder_is_chosen_although_it_is_busier(self):
        """A popular adapter is not copied while its holder keeps up.

        Each copy takes a slot that another adapter needs. With a copy at
        every endpoint most adapters had no slot left and their requests were
        refused.
        """
        fleet = fleets.fleet(view('e1', 400), view('e2'), ready=('e1',))
        self.assertEqual('e1', choose(fleet))

    def test_second_copy_is_loaded_if_the_holder_can_not_keep_up(self):
        """Demand for one adapter exceeds what one endpoint can prefill.

        An endpoint prefills eight prompts a second, and a burst has left
        twenty waiting at the holder. The next request would be late there and
        on time at another endpoint.
        """
        fleet = fleets.fleet(view('e1', 2000), view('e2'), ready=('e1',))
        self.assertEqual('e2', choose(fleet))

    def test_holder_with_the_shortest_backlog_is_chosen(self):
        fleet = fleets.fleet(
            view('e1', 300), view('e2', 100), ready=('e1', 'e2')
        )
        self.assertEqual('e2', choose(fleet))


class LoadTest(unittest.TestCase):
    def test_cold_adapter_goes_to_the_first_of_its_rendezvous_order(self):
        """Several gateways get a request for the same cold adapter.

        Without a common order each would load it at another endpoint: four
        fetches in place of one.
        """
        fleet = fleets.fleet(view('e1'), view('e2'), view('e3'))
        self.assertEqual('e1', choose(fleet))

    def test_recent_holder_is_preferred_to_a_fetch_elsewhere(self):
        """An adapter that was evicted is requested again.

        Its last holder reloads it in 25 ms and at no price. Any other
        endpoint fetches it from the weight store, which slows all fetches.
        """
        fleet = fleets.fleet(
            view('e1'), view('e2'), view('e3', 200), recent=('e3',)
        )
        self.assertEqual('e3', choose(fleet))

    def test_endpoint_with_an_evictable_slot_is_preferred(self):
        fleet = fleets.fleet(view('e1', evictable=False), view('e2', 200))
        self.assertEqual('e2', choose(fleet))

    def test_full_endpoint_is_kept_if_others_have_a_longer_backlog(self):
        """Every slot is in use at the first endpoint of the order.

        Elsewhere the backlog is longer than a slot takes to become free, so
        that moving the request would cost another fetch and gain nothing.
        """
        fleet = fleets.fleet(view('e1', evictable=False), view('e2', 300))
        self.assertEqual('e1', choose(fleet))

    def test_running_load_is_waited_for(self):
        fleet = fleets.fleet(view('e1'), view('e2'), pending=('e2',))
        self.assertEqual('e2', choose(fleet))


class PaceTest(unittest.TestCase):
    """One of three endpoints reads 1.7 times as slowly as the others."""

    def test_slow_holder_is_chosen_only_if_the_others_are_busier(self):
        """Equal backlogs in tokens hid that one takes 1.7 times as long."""
        slow = view('e1', 0, read_ms=181.0)
        for backlog_ms, expected in ((60, 'e2'), (90, 'e1')):
            other = view('e2', backlog_ms, read_ms=107.0)
            fleet = fleets.fleet(slow, other, ready=('e1', 'e2'))
            self.assertEqual(expected, choose(fleet))

    def test_endpoint_at_nine_tenths_of_reading_gets_less(self):
        """Its backlog is short by chance when it is reported.

        All gateways sent there until the next report, a second later.
        """
        busy = view('e1', 0, read_ms=107.0, read_share=0.9)
        usual = view('e2', 300, read_ms=107.0, read_share=0.5)
        fleet = fleets.fleet(busy, usual, ready=('e1', 'e2'))
        self.assertEqual('e2', choose(fleet))

    def test_no_copy_is_loaded_for_a_share_of_reading_alone(self):
        """The share changes with each report, a copy takes a slot for good.

        Counted there, it caused an eighth more fetches on six endpoints.
        """
        busy = view('e1', 200, read_ms=107.0, read_share=0.9)
        idle = view('e2', read_ms=107.0)
        self.assertEqual('e1', choose(fleets.fleet(busy, idle, ready=('e1',))))

    def test_endpoint_that_only_reads_can_still_be_chosen(self):
        """The expected wait has no bound where reading never pauses."""
        busy = view('e1', 0, read_ms=100.0, read_share=1.0)
        longer = view('e2', 2000, read_ms=100.0)
        fleet = fleets.fleet(busy, longer, ready=('e1', 'e2'))
        self.assertEqual('e1', choose(fleet))

    def test_share_of_reading_counts_only_with_a_known_pace(self):
        """Deployments whose sidecars report no pace keep their choices."""
        busy = view('e1', 99, read_share=0.9)
        fleet = fleets.fleet(busy, view('e2', 100), ready=('e1', 'e2'))
        self.assertEqual('e1', choose(fleet))
        self.assertEqual('e1', choose(fleet, adapter=None))


class NoAdapterTest(unittest.TestCase):
    def test_request_goes_to_the_shortest_backlog(self):
        fleet = fleets.fleet(view('e1', 100), view('e2', 50))
        self.assertEqual('e2', choose(fleet, adapter=None))

    def test_none_without_endpoints(self):
        self.assertIsNone(choose(fleets.fleet()))
