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
        """Offer an attempt, load its adapter and return the started run."""
        self.offer(attempt_id, **changes)
        (order,) = self.of_type(effects.LoadAdapter)
        self.feed(events.LoadSucceeded(1, order.order_id, 'epoch-1'))
        (run,) = self.of_type(effects.StartRun)
        return run


class SlotTest(SidecarTestCase):
    def test_load_order_has_a_fencing_number_from_the_log(self):
        self.offer()
        (order,) = self.of_type(effects.LoadAdapter)
        self.assertEqual(7, order.fence >> 20)

    def test_attempt_runs_once_its_adapter_is_loaded(self):
        run = self.run_offer()
        self.assertEqual('r1.1', run.attempt_id)

    def test_pinned_slot_is_not_evicted(self):
        """Guards against loading over an adapter that a run is using.

        Both slots run a request when a third adapter is requested. Evicting
        one of them would continue its answer with another adapter.
        """
        self.run_offer('r1.1')
        self.run_offer('r2.1', adapter=builders.adapter('a2'))
        self.offer('r3.1', adapter=builders.adapter('a3'))
        self.assertEqual([], self.of_type(effects.LoadAdapter))
        self.feed(events.RunEnded(5, 'r1.1', 0), events.Ticked(6))
        (order,) = self.of_type(effects.LoadAdapter)
        self.assertEqual(0, order.slot)

    def test_engine_restart_clears_the_slots(self):
        """Guards against a slot table that outlives its engine's epoch.

        The engine restarts with empty slots; the table of the old epoch
        would send requests to adapters that are no longer loaded.
        """
        self.run_offer()
        self.feed(builders.engine_status('epoch-2', at_ms=10))
        self.feed(events.Ticked(10 + _runs.REFUSAL_WAIT_MS))
        self.assertIs(errors.Kind.ENGINE_RESTARTED, self.failure().kind)
        self.assertIs(errors.Ran.UNKNOWN, self.failure().ran)
        self.offer('r2.1')
        self.assertEqual([], self.of_type(effects.StartRun))
        self.assertEqual(1, len(self.of_type(effects.LoadAdapter)))

    def test_late_status_of_an_earlier_epoch_is_ignored(self):
        self.feed(builders.engine_status('epoch-2', at_ms=10))
        self.feed(builders.engine_status('epoch-1', at_ms=20))
        self.assertEqual('epoch-2', self.state.epoch)

    def test_answer_of_another_adapter_is_not_relayed(self):
        self.run_offer()
        other = builders.adapter('a2')
        self.feed(events.RunStarted(2, 'r1.1', 'epoch-1', 200, (), other))
        self.assertEqual([], self.sent(messages.Started))
        self.assertIs(errors.Kind.WRONG_ADAPTER, self.failure().kind)

    def test_error_that_names_no_adapter_is_relayed(self):
        """Guards against taking an error without an adapter for a wrong one.

        The engine refuses a bad body with 400 and names no adapter. The
        caller was told that the wrong adapter ran, and the slot was
        distrusted and reloaded for each such request.
        """
        self.run_offer()
        self.feed(events.RunStarted(2, 'r1.1', 'epoch-1', 400, (), None))
        (head,) = self.sent(messages.Started)
        self.assertEqual(400, head.status)

    def test_answer_that_names_no_adapter_is_not_relayed(self):
        self.run_offer()
        self.feed(events.RunStarted(2, 'r1.1', 'epoch-1', 200, (), None))
        self.assertIs(errors.Kind.WRONG_ADAPTER, self.failure().kind)


class LoadTimeTest(SidecarTestCase):
    def test_load_confirmed_after_a_pause_is_not_measured(self):
        """Guards against counting a pause of the sidecar as load time.

        The sidecar is paused for a minute while a load is in flight. If the
        load were estimated to take that long, every request that waits for
        one would be refused as late, and no load would correct the estimate.
        """
        self.feed(events.Ticked(0))
        self.offer('r1.1')
        (order,) = self.of_type(effects.LoadAdapter)
        loaded = events.LoadSucceeded(60_000, order.order_id, 'epoch-1')
        self.feed(loaded, events.Ticked(60_000))
        self.assertLess(self.state.load_ms, 60_000)
        self.assertFalse(_pauses.has_no_pause(self.state, 0, 60_050))


class AttemptTest(SidecarTestCase):
    def test_duplicate_offer_runs_once(self):
        self.run_offer()
        self.offer()
        self.assertEqual([], self.of_type(effects.StartRun))

    def test_offer_after_its_resume_does_not_run(self):
        """Guards against running an attempt that was reported as not run.

        The link breaks with the offer still in the socket; the gateway
        resumes on a new link and is told "not run", and then the old socket
        delivers the offer.
        """
        self.receive(messages.Resume('r1.1', 0), peer='g1')
        self.assertIs(errors.Ran.NOT_RUN, self.failure().ran)
        self.offer()
        self.assertEqual([], self.of_type(effects.LoadAdapter))

    def test_ended_attempt_does_not_keep_its_request(self):
        """Guards against memory that grows under load.

        Each ended attempt is kept for a minute so that it can be resumed;
        its request body is not needed for that.
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

    def test_stopping_sidecar_fails_queued_attempts_as_not_run(self):
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

    def test_stop_waits_for_offers_in_flight(self):
        """Guards against exiting before every gateway knows of the stop.

        If an idle sidecar exited at once, an offer sent just before would be
        lost, and its gateway could only answer that the outcome is unknown.
        """
        self.feed(events.StopRequested(3), events.Ticked(4))
        self.assertEqual([], self.of_type(effects.Exit))
        self.offer('r1.1')
        self.assertIs(errors.Kind.LEAVING, self.failure().kind)
        self.feed(events.LinkClosed(5, 'g1'))
        self.assertEqual([effects.Exit(0)], self.of_type(effects.Exit))

    def test_stop_waits_only_once_for_each_gateway(self):
        """Guards against a stop that never ends with many gateways.

        A gateway that has closed its link reconnects to check whether the
        endpoint was replaced, and with many of them some link is always open.
        """
        gateway = events.Role.GATEWAY
        self.feed(events.LinkOpened(1, 'g2', gateway, 'i2'))
        self.feed(events.StopRequested(3), events.LinkClosed(4, 'g2'))
        self.feed(events.LinkOpened(5, 'g2', gateway, 'i2'))
        self.feed(events.LinkClosed(6, 'g1'))
        self.assertEqual([effects.Exit(0)], self.of_type(effects.Exit))

    def test_stop_waits_for_a_gateway_only_until_a_timeout(self):
        self.feed(events.StopRequested(3), events.Ticked(20_000))
        self.assertEqual([effects.Exit(0)], self.of_type(effects.Exit))

    def test_run_that_is_not_resumed_is_cancelled(self):
        """Guards against a slot that stays pinned by an abandoned run.

        A gateway dies, or gives up a request while its link is down, and
        reconnects. The answer is never read, so the endpoint is not read
        either and the run does not end by itself: no adapter can be loaded
        into its slot, and a stop takes minutes.
        """
        self.run_offer('r1.1')
        self.feed(events.LinkClosed(10, 'g1'))
        gateway = events.Role.GATEWAY
        self.feed(events.LinkOpened(20, 'g1', gateway, 'i1'))
        self.offer('r2.1')
        orphan_ms = self.state.options.resume_timeout_ms
        self.feed(events.Ticked(9 + orphan_ms))
        self.assertEqual([], self.of_type(effects.CancelRun))
        self.feed(events.Ticked(10 + orphan_ms))
        cancel = self.of_type(effects.CancelRun)
        self.assertEqual([effects.CancelRun('r1.1')], cancel)

    def test_run_that_is_resumed_is_not_cancelled(self):
        self.run_offer('r1.1')
        self.feed(events.LinkClosed(10, 'g1'))
        self.receive(messages.Resume('r1.1', 0), at_ms=20, peer='g1')
        self.feed(events.Ticked(10 + self.state.options.resume_timeout_ms))
        self.assertEqual([], self.of_type(effects.CancelRun))

    def test_refusal_by_a_restarted_engine_triggers_a_status_read(self):
        """Requests before the next regular read would be refused as well."""
        self.run_offer()
        self.feed(
            events.RunFailed(
                2, 'r1.1', errors.Kind.ENGINE_RESTARTED, errors.Ran.NOT_RUN
            )
        )
        self.assertEqual(1, len(self.of_type(effects.ReadStatus)))

    def test_refusal_by_a_new_engine_is_awaited_after_its_status(self):
        """Guards against "may have run" for what the new engine refused.

        The request was meant for the previous engine, which had restarted.
        The status of the new one arrives before its refusal.
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

    def test_run_lost_with_its_engine_is_reported_as_one_crash(self):
        """Guards against a crash that is reported in both epochs."""
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

    def test_ended_attempt_is_kept_until_its_cancel_is_confirmed(self):
        """Guards against dropping an attempt that still holds its pin.

        The connection to a hung engine breaks, the attempt fails, and its
        cancel stays unconfirmed for longer than ended attempts are kept.
        When the engine restarted, the sidecar crashed on the missing attempt.
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
