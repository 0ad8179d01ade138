"""Tests of fencing, takeover and load orders of unknown outcome."""

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow import sidecar
from test import builders
from test import helper

UNKNOWN = events.Certainty.UNKNOWN
NO_ANSWER = events.LoadFailure.NO_ANSWER


class OrderTestCase(helper.ReducerTestCase):
    def start(self, fence_offset=6, status=None, **options):
        self.begin(sidecar.reduce, builders.sidecar_state(**options))
        if fence_offset is not None:
            stream = 'takeovers'
            self.feed(events.Appended(0, stream, 'x', fence_offset))
        self.feed(status or builders.engine_status(slots=1))
        self.open_link('g1', events.Role.GATEWAY)

    def request_adapter(self, name, at_ms=0):
        offer = builders.offer(f'{name}.1', adapter=builders.adapter(name))
        self.receive(offer, at_ms, 'g1')
        return self.of_type(effects.LoadAdapter)

    def order_load(self, name, at_ms=0):
        (order,) = self.request_adapter(name, at_ms)
        return order

    def lose_answer(self, order, at_ms=10):
        self.feed(events.LoadFailed(at_ms, order.order_id, UNKNOWN, NO_ANSWER))


class UncertainOrderTest(OrderTestCase):
    def test_late_order_does_not_change_a_slot_in_use(self):
        """Guards against reusing a slot while a late order may reach it.

        The engine ignores fencing numbers. A load hangs and times out;
        another adapter is loaded into the slot and runs; then the first order
        takes effect, and the answer continues with the wrong adapter.
        """
        self.start(checks_fencing=False, settle_ms=40_000)
        self.lose_answer(self.order_load('a1'))
        self.assertEqual([], self.request_adapter('a2', 20))
        self.feed(events.Ticked(40_000))
        self.assertEqual([], self.request_adapter('a3', 40_001))
        self.feed(events.Ticked(40_100))
        (order,) = self.of_type(effects.LoadAdapter)
        self.assertEqual('a3', order.adapter.adapter)

    def test_same_adapter_is_not_loaded_into_an_uncertain_slot(self):
        """Guards against a second order while a late one may still fail.

        The engine ignores fencing numbers. A load hangs and times out; the
        same adapter is loaded again and runs; then the first order empties
        the slot and fails, and the answer continues with the base model.
        """
        self.start(checks_fencing=False, load_backoff_ms=100)
        self.lose_answer(self.order_load('a1'))
        self.feed(events.Ticked(200))
        self.assertEqual([], self.of_type(effects.LoadAdapter))
        self.feed(events.Ticked(29_000))
        self.assertEqual([], self.of_type(effects.LoadAdapter))

    def test_engine_that_checks_fencing_gets_the_next_order_at_once(self):
        self.start()
        first = self.order_load('a1')
        self.lose_answer(first)
        second = self.order_load('a2', 20)
        self.assertGreater(second.fence, first.fence)

    def test_late_success_of_an_order_makes_the_slot_ready(self):
        self.start(checks_fencing=False)
        order = self.order_load('a1')
        self.lose_answer(order)
        self.feed(events.LoadSucceeded(20, order.order_id, 'epoch-1'))
        self.assertEqual(1, len(self.of_type(effects.StartRun)))

    def test_status_that_shows_the_load_makes_the_slot_ready(self):
        self.start(checks_fencing=False)
        self.lose_answer(self.order_load('a1'))
        reported = events.SlotState(0, builders.adapter('a1'), True)
        self.feed(builders.engine_status(slots=0, at_ms=20))
        self.assertEqual([], self.of_type(effects.StartRun))
        status = builders.engine_status(at_ms=30)
        self.feed(_with_slots(status, reported))
        self.assertEqual(1, len(self.of_type(effects.StartRun)))

    def test_adapter_in_two_slots_is_pinned_in_both(self):
        """Guards against counting pins only for the slot of the run.

        A load hangs and times out; the adapter is loaded into another slot
        and runs; then the first load succeeds after all. The engine finds
        adapters by name and may move the run to the first slot. That slot has
        no pins, and loading another adapter there would change the answer.
        """
        self.start(status=builders.engine_status(slots=2))
        self.lose_answer(self.order_load('a1'))
        self.state.slots[0].pins = 1
        self.feed(events.Ticked(5000))
        (second,) = self.of_type(effects.LoadAdapter)
        self.assertEqual(1, second.slot)
        self.feed(events.LoadSucceeded(5100, second.order_id, 'epoch-1'))
        self.assertEqual(1, len(self.of_type(effects.StartRun)))
        self.state.slots[0].pins = 0
        self.assertEqual([], self.request_adapter('a2', 5200))
        self.feed(events.RunEnded(5300, 'a1.1', 0), events.Ticked(5301))
        self.assertEqual(1, len(self.of_type(effects.LoadAdapter)))

    def test_refused_order_keeps_the_slots_possible_adapters(self):
        """The engine refuses an order, which leaves its slot unchanged."""
        self.start(status=builders.engine_status(slots=2))
        first = self.order_load('a1')
        self.feed(events.LoadSucceeded(1, first.order_id, 'epoch-1'))
        self.feed(events.RunEnded(2, 'a1.1', 0))
        slot = self.state.slots[0]
        held = slot.may_hold
        self.state.slots[1].pins = 1
        second = self.order_load('a2', 3)
        reason = events.LoadFailure.STALE_FENCE
        not_done = events.Certainty.NOT_DONE
        self.feed(events.LoadFailed(4, second.order_id, not_done, reason))
        self.assertEqual((0, held), (second.slot, slot.may_hold))

    def test_slot_that_answered_with_a_wrong_adapter_stays_uncertain(self):
        self.start()
        order = self.order_load('a1')
        self.feed(events.LoadSucceeded(1, order.order_id, 'epoch-1'))
        other = builders.adapter('a9')
        self.feed(events.RunStarted(2, 'a1.1', 'epoch-1', 200, (), other))
        reported = events.SlotState(0, builders.adapter('a1'), True)
        self.feed(_with_slots(builders.engine_status(at_ms=3), reported))
        self.assertIs(sidecar.SlotPhase.UNCERTAIN, self.state.slots[0].phase)

    def test_failed_load_does_not_block_the_others(self):
        self.start()
        order = self.order_load('a1')
        reason = events.LoadFailure.WEIGHTS
        not_done = events.Certainty.NOT_DONE
        self.request_adapter('a2')
        self.feed(events.LoadFailed(5, order.order_id, not_done, reason))
        (second,) = self.of_type(effects.LoadAdapter)
        self.assertEqual('a2', second.adapter.adapter)


class TakeoverTest(OrderTestCase):
    def test_no_order_without_a_fencing_number(self):
        self.start(fence_offset=None)
        self.assertEqual([], self.request_adapter('a1'))

    def test_log_outage_does_not_keep_a_new_sidecar_from_loading(self):
        """Guards against an endpoint that is idle during a log outage.

        A sidecar started in an outage of hours gets no fencing number from the
        log. The fixed port excludes a live predecessor, so the number may be
        derived from the highest one that the engine has seen.
        """
        self.start(fence_offset=None)
        self.request_adapter('a1')
        self.feed(builders.engine_status(at_ms=6000, highest_fence=500))
        (order,) = self.of_type(effects.LoadAdapter)
        self.assertGreater(order.fence, 500)

    def test_failed_append_is_retried_after_a_pause(self):
        self.start(fence_offset=None)
        failed = events.AppendFailed(0, 'takeovers', 'x', UNKNOWN)
        self.assertEqual([], self.feed(failed))
        self.feed(events.Ticked(1000))
        self.assertEqual(1, len(self.of_type(effects.Append)))

    def test_runs_of_a_dead_predecessor_keep_their_adapters(self):
        """Guards against taking an empty pin table for an idle engine.

        The engine still runs requests of the dead sidecar, whose pins are
        lost. If the new sidecar loaded into a slot in use, a running answer
        would change its adapter.
        """
        busy = builders.engine_status(slots=1, running=1)
        self.start(status=busy)
        self.assertEqual([], self.request_adapter('a1'))
        self.feed(builders.engine_status(slots=1, at_ms=500))
        self.assertEqual(1, len(self.of_type(effects.LoadAdapter)))

    def test_adapter_of_a_predecessor_is_loaded_into_the_same_slot(self):
        """Guards against taking a new sidecar's slot table for the engine's.

        The predecessor left an adapter in the second slot. If it were loaded
        into the first one too, a run might use the second, which has no pins
        and could be evicted.
        """
        reported = events.SlotState(1, builders.adapter('a1'), True)
        status = builders.engine_status(slots=2)
        self.start(status=_with_slots(status, status.slots[0], reported))
        self.assertEqual(1, self.order_load('a1').slot)

    def test_sidecar_that_was_replaced_while_paused_shuts_down(self):
        """Guards against two sidecars that send orders to one engine.

        The first is paused, the second takes over, and the first resumes
        without noticing that it was replaced.
        """
        self.start()
        higher = 9 << 20
        self.feed(builders.engine_status(at_ms=5, highest_fence=higher))
        (report,) = self.sent(messages.Report)
        self.assertTrue(report.leaving)
        self.assertEqual([], self.request_adapter('a1', 6))
        self.assertIs(errors.Kind.LEAVING, self.failure().kind)


def _with_slots(status, *slots):
    values = {
        name: getattr(status, name) for name in status.__dataclass_fields__
    }
    return events.EngineStatus(**(values | {'slots': slots}))
