"""An endpoint that starts again, under its old name or another."""

from berylhollow import events
from berylhollow import messages
from test.loader import loader_helper

FIRST_MS = 1_790_000_000_000
"""When the endpoint started first, by its own clock."""
SECOND_MS = FIRST_MS + 40_000
OTHER = 'i-2'
LOST = events.OrderVerdict.LOST
demand = loader_helper.demand
named = loader_helper.named


class RestartTestCase(loader_helper.LoaderTestCase):
    """A loader whose endpoint runs since ``FIRST_MS`` and holds one."""

    def setUp(self):
        super().setUp()
        self.orders = 3
        self.report([named('a1')], started_ms=FIRST_MS)
        self.want(demand('a1', 0, 1), started_ms=FIRST_MS)

    def restart(self, started_ms=SECOND_MS, at_ms=100, **changes):
        """Report an endpoint that has just started and holds nothing."""
        self.orders = 0
        self.feed(events.Ticked(at_ms))
        values = {'models': (), 'started_ms': started_ms} | changes
        return self.report(at_ms=at_ms, **values)


class OldNameTest(RestartTestCase):
    def test_endpoint_is_ordered_again_under_its_old_name(self):
        """An endpoint crashed and started again under the name that it had.

        Its loader had put the name down as over and never ordered it again:
        every request for an adapter there was refused for the rest of the
        day.
        """
        self.restart()
        order = self.order()
        self.assertEqual(loader_helper.MODEL, order.name)
        self.assertEqual(
            (0, loader_helper.ENDPOINT), (order.orders, order.endpoint)
        )

    def test_restart_within_one_heartbeat_is_seen_by_its_start(self):
        """A restart so quick that as many orders were accepted again.

        By their number alone nothing had happened, and adapters were
        believed to be there that went with the old start.
        """
        self.orders = 3
        self.report([named('a2')], at_ms=100, started_ms=SECOND_MS, orders=3)
        known = messages.Incarnation(loader_helper.ENDPOINT, SECOND_MS)
        self.assertEqual(known, self.state.endpoint)
        self.assertEqual({}, self.state.used_ms)

    def test_restarts_twice_in_a_row(self):
        """It crashes again before the list has told of the first restart."""
        self.restart()
        self.restart(SECOND_MS + 900, at_ms=200)
        known = messages.Incarnation(loader_helper.ENDPOINT, SECOND_MS + 900)
        self.assertEqual(known, self.state.endpoint)
        self.assertEqual(loader_helper.ENDPOINT, self.order().endpoint)

    def test_start_by_a_clock_that_was_set_back(self):
        """The clock went back in between: the new start looks older.

        It is another start all the same, and is ordered as one.
        """
        self.restart(FIRST_MS - 5000)
        self.assertEqual(FIRST_MS - 5000, self.state.endpoint.started_ms)
        self.assertEqual(loader_helper.MODEL, self.order().name)

    def test_gateway_behind_the_list_does_not_bring_the_old_start_back(self):
        """A gateway still names the start before, from an older list."""
        self.restart()
        self.end_order(at_ms=110)
        self.want(demand('a1'), at_ms=120, started_ms=FIRST_MS)
        self.assertEqual(SECOND_MS, self.state.endpoint.started_ms)

    def test_answer_to_an_order_of_before_ends_none_of_now(self):
        """An order is under way while the endpoint restarts.

        Its answer comes when the first order to the new start is under way.
        Taken for that one's, the next would be planned on what is not there.
        """
        self.want(demand('a2'), at_ms=50, started_ms=FIRST_MS)
        before = self.state.order.order_id
        self.restart()
        under_way = self.state.order.order_id
        self.feed(events.OrderEnded(130, before, events.OrderVerdict.ACCEPTED))
        self.assertEqual(under_way, self.state.order.order_id)


class OtherNameTest(RestartTestCase):
    def test_gateways_that_know_the_new_name_are_believed_at_once(self):
        """The sidecar is behind: gateways named the new start before it."""
        self.want(demand('a1'), endpoint=OTHER, started_ms=SECOND_MS)
        self.restart()
        self.assertEqual(OTHER, self.order().endpoint)

    def test_name_that_was_only_kept_is_given_up_when_refused(self):
        """The new start has another name, and refuses orders to the old.

        The old name with the new start must not be tried without end.
        """
        self.restart()
        self.end_order(events.OrderVerdict.ANOTHER_INCARNATION, at_ms=110)
        self.assertIsNone(self.state.endpoint)
        self.feed(events.Ticked(2000))
        self.report(at_ms=2001, models=(), started_ms=SECOND_MS)
        self.assert_no_order()
        self.want(
            demand('a1'), at_ms=2002, endpoint=OTHER, started_ms=SECOND_MS
        )
        self.assertEqual(OTHER, self.order().endpoint)

    def test_without_a_start_a_lower_count_tells_the_restart(self):
        self.orders = 3
        self.report([named('a1')], at_ms=50, started_ms=0)
        self.restart(started_ms=0)
        self.assertIsNone(self.state.endpoint)


class StrayOrderTest(RestartTestCase):
    """An order without an answer that is carried out after a restart."""

    def lose_an_order(self):
        self.orders = 2
        self.feed(events.Ticked(20))
        self.report([named('a1')], at_ms=20, started_ms=FIRST_MS)
        self.want(demand('a2'), at_ms=30, started_ms=FIRST_MS)
        self.assertEqual(2, self.order().orders)
        self.end_order(LOST, at_ms=40)
        self.want(at_ms=50, started_ms=FIRST_MS)

    def load(self, name, at_ms, *held):
        """Have one more adapter wanted; return whether it is loaded."""
        self.feed(events.Ticked(at_ms))
        self.report(held, at_ms=at_ms, started_ms=SECOND_MS)
        self.want(demand(name), at_ms=at_ms + 1, started_ms=SECOND_MS)
        order = self.order()
        self.end_order(at_ms=at_ms + 2)
        return order.load

    def test_place_stays_free_while_a_stray_load_is_valid(self):
        """A load got no answer; then the endpoint started again.

        Seconds later its count of orders fits the stray load by chance. With
        every place taken the endpoint is asked for more than it can hold,
        and crashes with all that runs there.
        """
        self.lose_an_order()
        self.restart(models=(loader_helper.MODEL,))
        self.assertEqual(1, self.state.slots)
        self.assertTrue(self.load('b1', 200))
        self.assertFalse(self.load('b2', 400, named('b1')))

    def test_place_is_used_once_no_stray_load_fits_any_more(self):
        self.lose_an_order()
        self.restart(models=(loader_helper.MODEL,))
        self.orders = 3
        self.assertTrue(self.load('b1', 200))
        self.assertTrue(self.load('b2', 400, named('b1')))

    def test_place_is_used_when_the_stray_load_is_too_old(self):
        self.lose_an_order()
        self.restart(models=(loader_helper.MODEL,))
        late_ms = self.state.options.stray_ms + 100
        self.feed(events.Ticked(late_ms))
        self.report([], at_ms=late_ms, started_ms=SECOND_MS)
        self.want(at_ms=late_ms, started_ms=SECOND_MS)
        self.assertEqual(2, self.state.slots)
