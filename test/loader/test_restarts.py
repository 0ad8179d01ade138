"""An endpoint that restarts, under the same name or another."""

from berylhollow import events
from berylhollow import messages
from test.loader import loader_helper

FIRST_MS = 1_790_000_000_000
"""First start time of the endpoint, by its own clock."""
SECOND_MS = FIRST_MS + 40_000
OTHER = 'i-2'
LOST = events.OrderVerdict.LOST
demand = loader_helper.demand
adapter_version = loader_helper.adapter_version


class RestartTestCase(loader_helper.LoaderTestCase):
    """A loader whose endpoint started at ``FIRST_MS`` and holds an adapter."""

    def setUp(self):
        super().setUp()
        self.orders = 3
        self.report([adapter_version('a1')], started_ms=FIRST_MS)
        self.send_demands(demand('a1', 0, 1), started_ms=FIRST_MS)

    def restart(self, started_ms=SECOND_MS, at_ms=100, **changes):
        """Report an endpoint that has just started and holds nothing."""
        self.orders = 0
        self.feed(events.Ticked(at_ms))
        values = {'models': (), 'started_ms': started_ms} | changes
        return self.report(at_ms=at_ms, **values)


class SameNameTest(RestartTestCase):
    def test_restarted_endpoint_receives_orders_under_its_old_name(self):
        """An endpoint crashed and restarted under the same name.

        Its loader had marked the name as ended and sent it no more orders:
        every request for an adapter there was refused for the rest of the
        day.
        """
        self.restart()
        order = self.order()
        self.assertEqual(loader_helper.MODEL, order.name)
        self.assertEqual(
            (0, loader_helper.ENDPOINT), (order.orders, order.endpoint)
        )

    def test_quick_restart_is_detected_by_the_start_time(self):
        """The endpoint restarts and has soon accepted as many orders again.

        The count of orders alone doesn't show such a restart, so the loader
        took adapters for loaded that the endpoint had lost.
        """
        self.orders = 3
        self.report(
            [adapter_version('a2')], at_ms=100, started_ms=SECOND_MS, orders=3
        )
        incarnation = messages.Incarnation(loader_helper.ENDPOINT, SECOND_MS)
        self.assertEqual(incarnation, self.state.endpoint)
        self.assertEqual({}, self.state.last_used_ms)

    def test_restarts_twice_in_a_row(self):
        """It crashes again before the list shows the first restart."""
        self.restart()
        self.restart(SECOND_MS + 900, at_ms=200)
        incarnation = messages.Incarnation(
            loader_helper.ENDPOINT, SECOND_MS + 900
        )
        self.assertEqual(incarnation, self.state.endpoint)
        self.assertEqual(loader_helper.ENDPOINT, self.order().endpoint)

    def test_restart_after_the_clock_was_set_back(self):
        """The clock was set back, so the new start time is the earlier one.

        It is a restart all the same, and the new start receives orders.
        """
        self.restart(FIRST_MS - 5000)
        self.assertEqual(FIRST_MS - 5000, self.state.endpoint.started_ms)
        self.assertEqual(loader_helper.MODEL, self.order().name)

    def test_gateway_with_an_outdated_list_does_not_restore_the_old_start(
        self,
    ):
        """A gateway with an older list still names the previous start."""
        self.restart()
        self.end_order(at_ms=110)
        self.send_demands(demand('a1'), at_ms=120, started_ms=FIRST_MS)
        self.assertEqual(SECOND_MS, self.state.endpoint.started_ms)

    def test_answer_to_an_earlier_order_does_not_end_the_current_one(self):
        """An order is in flight while the endpoint restarts.

        Its answer arrives while the first order to the new start is in
        flight. If it ended that one, the next order would be planned on a
        state that the endpoint does not have.
        """
        self.send_demands(demand('a2'), at_ms=50, started_ms=FIRST_MS)
        earlier = self.state.order.order_id
        self.restart()
        current = self.state.order.order_id
        self.feed(
            events.OrderEnded(130, earlier, events.OrderVerdict.ACCEPTED)
        )
        self.assertEqual(current, self.state.order.order_id)


class OtherNameTest(RestartTestCase):
    def test_new_name_known_to_gateways_is_used_at_once(self):
        """Gateways name the new start before the sidecar has noticed it."""
        self.send_demands(demand('a1'), endpoint=OTHER, started_ms=SECOND_MS)
        self.restart()
        self.assertEqual(OTHER, self.order().endpoint)

    def test_assumed_name_is_given_up_when_refused(self):
        """The endpoint has a new name and refuses orders to the old one.

        The old name with the new start time must not be tried forever.
        """
        self.restart()
        self.end_order(events.OrderVerdict.ANOTHER_INCARNATION, at_ms=110)
        self.assertIsNone(self.state.endpoint)
        self.feed(events.Ticked(2000))
        self.report(at_ms=2001, models=(), started_ms=SECOND_MS)
        self.assert_no_order()
        self.send_demands(
            demand('a1'), at_ms=2002, endpoint=OTHER, started_ms=SECOND_MS
        )
        self.assertEqual(OTHER, self.order().endpoint)

    def test_lower_order_count_shows_a_restart_without_start_times(self):
        self.orders = 3
        self.report([adapter_version('a1')], at_ms=50, started_ms=0)
        self.restart(started_ms=0)
        self.assertIsNone(self.state.endpoint)


class PredecessorTest(loader_helper.LoaderTestCase):
    """A sidecar that has just started beside an endpoint."""

    def begin_beside(self, orders, **changes):
        self.orders = orders
        self.report([], started_ms=SECOND_MS)
        self.send_demands(started_ms=SECOND_MS, **changes)

    def test_slot_stays_free_for_a_load_of_an_earlier_start(self):
        """Guards against one load too many, which crashes the endpoint.

        The sidecar restarts together with its endpoint, and a load that it
        had sent before is carried out late.
        """
        self.begin_beside(0, predecessor_ms=1200)
        self.assertEqual(1, self.state.slots)
        late_ms = self.state.options.stray_load_ms - 1200
        self.feed(events.Ticked(late_ms))
        self.send_demands(started_ms=SECOND_MS, at_ms=late_ms)
        self.assertEqual(2, self.state.slots)

    def test_no_slot_stays_free_at_the_first_start(self):
        self.begin_beside(0)
        self.assertEqual(2, self.state.slots)

    def test_no_slot_stays_free_if_the_endpoint_did_not_restart(self):
        self.begin_beside(3, predecessor_ms=1200)
        self.assertEqual(2, self.state.slots)

    def test_slot_stays_free_after_an_order_of_this_start(self):
        """Guards against one load too many, which crashes the endpoint.

        A gateway that knows of the earlier start is linked only after this
        start has sent its first order, which the endpoint has counted.
        """
        self.begin_beside(0)
        self.send_demands(demand('a1'), at_ms=50, started_ms=SECOND_MS)
        self.end_order(at_ms=60)
        self.feed(events.Ticked(70))
        self.report([adapter_version('a1')], at_ms=70, started_ms=SECOND_MS)
        self.send_demands(
            at_ms=80, started_ms=SECOND_MS, predecessor_ms=1200, peer='g2'
        )
        self.assertEqual(1, self.state.slots)

    def test_slot_stays_free_if_a_restart_was_read_before_the_link(self):
        """Guards against one load too many, which crashes the endpoint.

        The endpoint restarts after its sidecar, and then a gateway is linked
        that knows of the sidecar's earlier start.
        """
        self.begin_beside(3)
        self.feed(events.Ticked(100))
        self.orders = 0
        self.report(at_ms=100, started_ms=SECOND_MS + 900)
        self.send_demands(at_ms=200, predecessor_ms=1200, peer='g2')
        self.assertEqual(1, self.state.slots)

    def test_slot_stays_free_if_the_endpoint_restarts_after_its_sidecar(self):
        """Guards against one load too many, which crashes the endpoint.

        The sidecar restarts first. The load that its earlier start sent is
        harmless only as long as the endpoint doesn't restart as well.
        """
        self.begin_beside(3, predecessor_ms=1200)
        self.assertEqual(
            1, len(self.logged('earlier load may follow a restart'))
        )
        self.feed(events.Ticked(100))
        self.orders = 0
        self.report(at_ms=100, started_ms=SECOND_MS + 900)
        self.assertEqual(1, self.state.slots)

    def test_slot_is_reserved_once(self):
        self.begin_beside(0, predecessor_ms=1200)
        self.send_demands(started_ms=SECOND_MS, predecessor_ms=1300, peer='g2')
        self.assertEqual(1, len(self.state.stray_loads))


class StrayOrderTest(RestartTestCase):
    """An order without an answer that may be carried out after a restart."""

    def lose_order(self):
        self.orders = 2
        self.feed(events.Ticked(20))
        self.report([adapter_version('a1')], at_ms=20, started_ms=FIRST_MS)
        self.send_demands(demand('a2'), at_ms=30, started_ms=FIRST_MS)
        self.assertEqual(2, self.order().orders)
        self.end_order(LOST, at_ms=40)
        self.send_demands(at_ms=50, started_ms=FIRST_MS)

    def load(self, name, at_ms, *held):
        """Request one more adapter; return whether the order is a load."""
        self.feed(events.Ticked(at_ms))
        self.report(held, at_ms=at_ms, started_ms=SECOND_MS)
        self.send_demands(demand(name), at_ms=at_ms + 1, started_ms=SECOND_MS)
        order = self.order()
        self.end_order(at_ms=at_ms + 2)
        return order.load

    def test_slot_stays_free_while_a_stray_load_is_valid(self):
        """A load got no answer; then the endpoint restarted.

        Seconds later its count of orders happens to match the stray load. If
        every slot is taken then, the endpoint is asked to hold more than it
        can and crashes with all its runs.
        """
        self.lose_order()
        self.restart(models=(loader_helper.MODEL,))
        self.assertEqual(1, self.state.slots)
        self.assertTrue(self.load('b1', 200))
        self.assertFalse(self.load('b2', 400, adapter_version('b1')))

    def test_slot_is_used_once_the_stray_load_is_no_longer_valid(self):
        self.lose_order()
        self.restart(models=(loader_helper.MODEL,))
        self.orders = 3
        self.assertTrue(self.load('b1', 200))
        self.assertTrue(self.load('b2', 400, adapter_version('b1')))

    def test_slot_is_used_when_the_stray_load_has_expired(self):
        self.lose_order()
        self.restart(models=(loader_helper.MODEL,))
        late_ms = self.state.options.stray_load_ms + 100
        self.feed(events.Ticked(late_ms))
        self.report([], at_ms=late_ms, started_ms=SECOND_MS)
        self.send_demands(at_ms=late_ms, started_ms=SECOND_MS)
        self.assertEqual(2, self.state.slots)
