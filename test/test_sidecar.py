"""Tests of the sidecar's reducer: slots, pins, attempts and loads."""

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow import sidecar
from berylhollow.sidecar import _pauses
from berylhollow.sidecar import _runs
from test import builders
from test import helper


class SidecarTestCase(helper.ReducerTestCase):
    def setUp(self):
        self.begin(sidecar.reduce, builders.sidecar_state())
        self.feed(events.Appended(0, 'takeovers', 'incarnation-1', 6))
        self.feed(builders.engine_status())
        gateway = events.Role.GATEWAY
        self.feed(events.LinkOpened(0, 'g1', gateway, 'i1'))

    def offer(self, attempt_id='r1.1', **changes):
        self.receive(builders.offer(attempt_id, **changes), peer='g1')

    def run_offer(self, attempt_id='r1.1', **changes):
        """Offer an attempt and load its adapter; it is given a run."""
        self.offer(attempt_id, **changes)
        (order,) = self.of_type(effects.LoadAdapter)
        self.feed(events.LoadSucceeded(1, order.order_id, 'epoch-1'))
        (run,) = self.of_type(effects.StartRun)
        return run


class SlotTest(SidecarTestCase):
    def test_load_carries_the_fencing_number_of_the_log(self):
        self.offer()
        (order,) = self.of_type(effects.LoadAdapter)
        self.assertEqual(7, order.fence >> 20)

    def test_attempt_runs_once_its_adapter_is_loaded(self):
        run = self.run_offer()
        self.assertEqual('r1.1', run.attempt_id)

    def test_pinned_slot_is_not_loaded_over(self):
        """A running answer changes to another adapter in mid-sentence.

        Both slots run a request when a third adapter is asked for; loading
        it now would evict one in use. Cause: eviction without pins.
        """
        self.run_offer('r1.1')
        self.run_offer('r2.1', adapter=builders.adapter('a2'))
        self.offer('r3.1', adapter=builders.adapter('a3'))
        self.assertEqual([], self.of_type(effects.LoadAdapter))
        self.feed(events.RunEnded(5, 'r1.1', 0), events.Ticked(6))
        (order,) = self.of_type(effects.LoadAdapter)
        self.assertEqual(0, order.slot)

    def test_restarted_engine_holds_nothing(self):
        """Requests run on whatever a restarted engine happens to hold.

        The engine restarts cold; the slot table of the old epoch would send
        requests to empty slots. Cause: a table without an epoch.
        """
        self.run_offer()
        self.feed(builders.engine_status('epoch-2', at_ms=10))
        self.feed(events.Ticked(10 + _runs.REFUSAL_WAIT_MS))
        self.assertIs(errors.Kind.ENGINE_RESTARTED, self.failure().kind)
        self.assertIs(errors.Ran.UNKNOWN, self.failure().ran)
        self.offer('r2.1')
        self.assertEqual([], self.of_type(effects.StartRun))
        self.assertEqual(1, len(self.of_type(effects.LoadAdapter)))

    def test_lagging_report_of_a_left_epoch_is_ignored(self):
        self.feed(builders.engine_status('epoch-2', at_ms=10))
        self.feed(builders.engine_status('epoch-1', at_ms=20))
        self.assertEqual('epoch-2', self.state.epoch)

    def test_answer_of_another_adapter_is_not_passed_on(self):
        self.run_offer()
        other = builders.adapter('a2')
        self.feed(events.RunStarted(2, 'r1.1', 'epoch-1', 200, (), other))
        self.assertEqual([], self.sent(messages.Started))
        self.assertIs(errors.Kind.WRONG_ADAPTER, self.failure().kind)

    def test_error_that_names_no_adapter_is_the_callers_answer(self):
        """A caller with a bad body is told that the wrong adapter ran.

        The engine refuses the body with 400 and names no adapter; the slot
        was distrusted and loaded again for each such request. Cause: an
        answer without a name taken for one of another adapter.
        """
        self.run_offer()
        self.feed(events.RunStarted(2, 'r1.1', 'epoch-1', 400, (), None))
        (head,) = self.sent(messages.Started)
        self.assertEqual(400, head.status)

    def test_answer_without_a_name_is_not_passed_on(self):
        self.run_offer()
        self.feed(events.RunStarted(2, 'r1.1', 'epoch-1', 200, (), None))
        self.assertIs(errors.Kind.WRONG_ADAPTER, self.failure().kind)


class LoadTimeTest(SidecarTestCase):
    def test_load_confirmed_after_a_pause_is_no_measure_of_loads(self):
        """An endpoint refuses everything after it was paused once.

        The sidecar is paused while a load is under way; a minute later it
        takes the load for that slow, and every request that waits for one
        for too late. With none admitted no load corrects the estimate.
        Cause: a pause of our own taken for the weight store's.
        """
        self.feed(events.Ticked(0))
        self.offer('r1.1')
        (order,) = self.of_type(effects.LoadAdapter)
        loaded = events.LoadSucceeded(60_000, order.order_id, 'epoch-1')
        self.feed(loaded, events.Ticked(60_000))
        self.assertLess(self.state.load_ms, 60_000)
        self.assertFalse(_pauses.measures(self.state, 0, 60_050))


class AttemptTest(SidecarTestCase):
    def test_doubled_offer_runs_once(self):
        self.run_offer()
        self.offer()
        self.assertEqual([], self.of_type(effects.StartRun))

    def test_offer_after_its_resume_does_not_run(self):
        """A request that was answered "not run" runs after all.

        The link breaks with the offer still in the socket; the gateway
        resumes on a new link, is told "not run", and then the old socket
        delivers the offer. Cause: no memory of what was denied.
        """
        self.receive(messages.Resume('r1.1', 0), peer='g1')
        self.assertIs(errors.Ran.NOT_RUN, self.failure().ran)
        self.offer()
        self.assertEqual([], self.of_type(effects.LoadAdapter))

    def test_ended_attempt_does_not_keep_its_request(self):
        """A sidecar under load grows out of its memory.

        Each ended attempt is remembered for a minute, with its body. Cause:
        a memory for resumes that keeps more than a resume needs.
        """
        self.run_offer(body=b'x' * 1000)
        self.feed(events.RunEnded(4, 'r1.1', 1))
        self.assertEqual(b'', self.state.attempts['r1.1'].offer.body)

    def test_pin_is_kept_until_the_cancel_is_confirmed(self):
        self.run_offer()
        self.receive(messages.Cancel('r1.1'), peer='g1')
        self.assertEqual(1, self.state.slots[0].pins)
        self.feed(events.CancelConfirmed(3, 'r1.1'))
        self.assertEqual(0, self.state.slots[0].pins)

    def test_leaving_sidecar_hands_back_what_never_began(self):
        self.run_offer('r1.1')
        self.offer('r2.1', adapter=builders.adapter('a2'))
        self.feed(events.StopRequested(3))
        self.assertEqual('r2.1', self.failure().attempt_id)
        self.assertIs(errors.Ran.NOT_RUN, self.failure().ran)
        self.assertEqual([], self.of_type(effects.Exit))
        self.feed(events.RunEnded(4, 'r1.1', 1), events.Ticked(5))
        self.assertEqual([], self.of_type(effects.Exit))
        self.feed(events.LinkClosed(6, 'g1'))
        self.assertEqual([effects.Exit(0)], self.of_type(effects.Exit))

    def test_stop_waits_for_offers_that_are_under_way(self):
        """A porting order is lost to a planned stop.

        The sidecar is idle when it is told to stop and exits at once; an
        offer sent just before arrives nowhere, and its gateway has to answer
        that the outcome is unknown. Cause: an exit before each gateway knows.
        """
        self.feed(events.StopRequested(3), events.Ticked(4))
        self.assertEqual([], self.of_type(effects.Exit))
        self.offer('r1.1')
        self.assertIs(errors.Kind.LEAVING, self.failure().kind)
        self.feed(events.LinkClosed(5, 'g1'))
        self.assertEqual([effects.Exit(0)], self.of_type(effects.Exit))

    def test_stop_waits_only_once_for_each_gateway(self):
        """A stop never ends under many gateways.

        Each gateway that said farewell looks again whether the endpoint was
        replaced, and with many of them some link is always open.
        """
        gateway = events.Role.GATEWAY
        self.feed(events.LinkOpened(1, 'g2', gateway, 'i2'))
        self.feed(events.StopRequested(3), events.LinkClosed(4, 'g2'))
        self.feed(events.LinkOpened(5, 'g2', gateway, 'i2'))
        self.feed(events.LinkClosed(6, 'g1'))
        self.assertEqual([effects.Exit(0)], self.of_type(effects.Exit))

    def test_stop_does_not_wait_for_ever_for_a_gateway(self):
        self.feed(events.StopRequested(3), events.Ticked(20_000))
        self.assertEqual([effects.Exit(0)], self.of_type(effects.Exit))

    def test_run_that_is_not_resumed_gives_its_slot_back(self):
        """An adapter can't be loaded any more, and a stop takes minutes.

        A gateway dies, or gives a request up while its link is down, and is
        linked again. Nobody takes the answer any more, and the endpoint is
        read no further. Cause: runs that end only by themselves.
        """
        self.run_offer('r1.1')
        self.feed(events.LinkClosed(10, 'g1'))
        gateway = events.Role.GATEWAY
        self.feed(events.LinkOpened(20, 'g1', gateway, 'i1'))
        self.offer('r2.1')
        orphan_ms = self.state.options.orphan_ms
        self.feed(events.Ticked(9 + orphan_ms))
        self.assertEqual([], self.of_type(effects.CancelRun))
        self.feed(events.Ticked(10 + orphan_ms))
        cancel = self.of_type(effects.CancelRun)
        self.assertEqual([effects.CancelRun('r1.1')], cancel)

    def test_run_that_is_resumed_goes_on(self):
        self.run_offer('r1.1')
        self.feed(events.LinkClosed(10, 'g1'))
        self.receive(messages.Resume('r1.1', 0), at_ms=20, peer='g1')
        self.feed(events.Ticked(10 + self.state.options.orphan_ms))
        self.assertEqual([], self.of_type(effects.CancelRun))

    def test_refusal_by_a_restarted_engine_has_its_status_read_at_once(self):
        """Whatever came until the next regular read was refused as well."""
        self.run_offer()
        self.feed(
            events.RunFailed(
                2, 'r1.1', errors.Kind.ENGINE_RESTARTED, errors.Ran.NOT_RUN
            )
        )
        self.assertEqual(1, len(self.of_type(effects.ReadStatus)))

    def test_status_does_not_overtake_the_refusal_of_a_new_engine(self):
        """Guards against "may have run" for what the new engine refused.

        It was sent to the engine before, which had restarted; the status of
        the new one was read while the refusal was on its way.
        """
        self.run_offer()
        self.feed(builders.engine_status('epoch-2', at_ms=10))
        self.assertEqual([], self.sent(messages.Failed))
        self.feed(
            events.RunFailed(
                12, 'r1.1', errors.Kind.ENGINE_RESTARTED, errors.Ran.NOT_RUN
            )
        )
        self.assertIs(errors.Ran.NOT_RUN, self.failure().ran)

    def test_run_lost_with_its_engine_is_one_crash(self):
        """Guards against a crash that counts in both epochs."""
        self.run_offer()
        self.feed(builders.engine_status('epoch-2', at_ms=10))
        told = len(self.sent(messages.Crashed))
        lost = events.RunFailed(
            12,
            'r1.1',
            errors.Kind.ENDPOINT_FAILED,
            errors.Ran.UNKNOWN,
            crashed=True,
        )
        self.feed(lost)
        self.assertEqual(0 if told else 1, len(self.sent(messages.Crashed)))

    def test_an_ended_attempt_is_remembered_while_its_cancel_is_open(self):
        """A sidecar dies when its engine comes back after a long hang.

        The connection to a hung engine breaks, the answer is given up, and
        its cancel stays unconfirmed beyond the time for which ended attempts
        are kept; then the engine restarts. Cause: the attempt was forgotten
        while it still held its pin.
        """
        self.run_offer()
        failed = events.RunFailed(
            2, 'r1.1', errors.Kind.ENDPOINT_FAILED, errors.Ran.UNKNOWN
        )
        self.feed(failed, events.Ticked(100_000))
        self.assertEqual([], self.of_type(effects.ForgetRun))
        self.feed(builders.engine_status('epoch-2', at_ms=100_001))
        self.feed(events.Ticked(200_000))
        self.assertEqual(
            [effects.ForgetRun('r1.1')], self.of_type(effects.ForgetRun)
        )
