"""Choice among endpoints that queue by themselves and reload quickly.

The load that this answers: many adapters of heavy skew over a few endpoints
with six slots each, more distinct adapters in use than slots, prompts of
about 1,800 tokens that take 100 ms to read. The figures in the cases are
those of such endpoints: a fetch takes 250 ms, a reload 25, a run about a
second.
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
    router = policy.named('quick-reload').router
    return router.choose(query(**changes), fleet)


class HolderTest(unittest.TestCase):
    def test_holder_serves_although_it_is_busier(self):
        """A hot adapter does not spread while its holder keeps up.

        Each copy takes a slot that another adapter needs: with a copy at
        every endpoint most adapters had no slot left and were refused.
        """
        fleet = fleets.fleet(view('e1', 400), view('e2'), ready=('e1',))
        self.assertEqual('e1', choose(fleet))

    def test_second_copy_where_the_holder_can_not_keep_up(self):
        """One endpoint reads eight prompts a second; demand is more.

        A burst for one adapter has twenty prompts waiting at its holder.
        Whoever comes would be late there and on time at another endpoint.
        """
        fleet = fleets.fleet(view('e1', 2000), view('e2'), ready=('e1',))
        self.assertEqual('e2', choose(fleet))

    def test_shorter_backlog_among_holders(self):
        fleet = fleets.fleet(
            view('e1', 300), view('e2', 100), ready=('e1', 'e2')
        )
        self.assertEqual('e2', choose(fleet))


class LoadTest(unittest.TestCase):
    def test_cold_adapter_goes_to_the_first_of_its_order(self):
        """Several gateways get a request for the same cold adapter.

        Without an order of its own each would bring it to another endpoint:
        four fetches in place of one.
        """
        fleet = fleets.fleet(view('e1'), view('e2'), view('e3'))
        self.assertEqual('e1', choose(fleet))

    def test_copy_held_lately_is_worth_a_detour(self):
        """An adapter that was evicted is asked for again.

        Where it was, it is back in 25 ms and at no price; elsewhere it is
        fetched from the weight store, which slows everybody's fetches.
        """
        fleet = fleets.fleet(
            view('e1'), view('e2'), view('e3', 200), lately=('e3',)
        )
        self.assertEqual('e3', choose(fleet))

    def test_endpoint_with_all_slots_in_use_comes_after_its_equals(self):
        fleet = fleets.fleet(view('e1', evictable=False), view('e2', 200))
        self.assertEqual('e2', choose(fleet))

    def test_slot_that_is_about_to_fall_free_is_worth_a_short_wait(self):
        """Every slot is in use where the request belongs.

        Elsewhere prompts wait for longer than a slot takes to fall free;
        moved there, the adapter would be fetched once more for nothing.
        """
        fleet = fleets.fleet(view('e1', evictable=False), view('e2', 300))
        self.assertEqual('e1', choose(fleet))

    def test_load_under_way_is_waited_for(self):
        fleet = fleets.fleet(view('e1'), view('e2'), coming=('e2',))
        self.assertEqual('e2', choose(fleet))


class PlainTest(unittest.TestCase):
    def test_request_without_adapter_goes_where_least_waits(self):
        fleet = fleets.fleet(view('e1', 100), view('e2', 50))
        self.assertEqual('e2', choose(fleet, adapter=None))

    def test_nobody_left(self):
        self.assertIsNone(choose(fleets.fleet()))
