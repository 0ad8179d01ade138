"""Orders and reports of the loader, which manages an endpoint's adapters."""

from berylhollow import effects
from berylhollow import events
from berylhollow import messages
from test.loader import loader_helper


class OrderTest(loader_helper.LoaderTestCase):
    def test_model_is_loaded_where_no_adapter_fits(self):
        """Guards against an endpoint that stays empty for want of room."""
        self.send_demands(slots=0)
        self.report(models=())
        self.assertEqual(loader_helper.MODEL, self.order().name)
        self.end_order(at_ms=10)
        self.send_demands(loader_helper.demand('a1'), slots=0, at_ms=20)
        self.report(at_ms=30)
        self.assert_no_order()

    def test_adapter_that_requests_wait_for_is_loaded(self):
        self.report()
        self.send_demands(loader_helper.demand('a1'))
        order = self.order()
        self.assertTrue(order.load)
        self.assertEqual('m/a1', order.name)
        self.assertEqual(
            (0, loader_helper.ENDPOINT), (order.orders, order.endpoint)
        )

    def test_nothing_is_ordered_before_the_endpoint_is_known(self):
        """An order without an incarnation could reach a later one."""
        self.report()
        self.send_demands(loader_helper.demand('a1'), endpoint='')
        self.assert_no_order()

    def test_empty_endpoint_gets_its_model_first(self):
        """An endpoint that was replaced starts without a model.

        It refused every order of an adapter, and every request sent to it
        failed: the model has to be loaded first.
        """
        self.report(models=())
        self.send_demands(loader_helper.demand('a1'))
        self.assertEqual(loader_helper.MODEL, self.order().name)
        self.assertFalse(self.sent(messages.Report)[-1].ready)

    def test_next_order_waits_for_a_report_after_the_last_one(self):
        """Two orders must not be planned on the same report.

        The second would be planned on a read that began before the first was
        carried out; the endpoint refuses it, or crashes if it doesn't check.
        """
        self.report()
        self.send_demands(
            loader_helper.demand('a1'), loader_helper.demand('a2')
        )
        self.end_order()
        stale_read = self.state.reads - 1
        self.report(read=stale_read)
        self.assert_no_order()
        self.report(loading=[loader_helper.adapter_version('a1')])
        self.assertEqual('m/a2', self.order().name)

    def test_late_report_is_not_taken_for_a_restart(self):
        """An older report that arrives late shows fewer orders.

        The loader took it for a restart and gave the endpoint up: no adapter
        was loaded there for the rest of the day.
        """
        self.orders = 5
        self.report()
        self.feed(events.Ticked(400))
        self.feed(events.Ticked(2000))
        self.report(read=self.state.reads, at_ms=2010)
        self.send_demands(loader_helper.demand('a1'), at_ms=2010)
        self.report(read=self.state.reads - 1, orders=4, at_ms=2020)
        self.assertEqual(loader_helper.ENDPOINT, str(self.state.endpoint))

    def test_refused_orders_are_retried_with_back_off(self):
        """An order that was always refused was repeated without a pause.

        One sidecar sent 7,000 of them in half a minute.
        """
        self.report()
        self.send_demands(loader_helper.demand('a1'))
        sent = 0
        for at_ms in range(0, 5000, 10):
            if self.state.order is not None:
                sent += 1
                self.end_order(events.OrderVerdict.CONFLICT, at_ms)
            self.send_demands(loader_helper.demand('a1'), at_ms=at_ms)
            self.report(at_ms=at_ms)
        self.assertLess(sent, 12)

    def test_restarted_endpoint_is_ordered_by_its_new_name_only(self):
        self.orders = 3
        self.report()
        self.send_demands()
        self.orders = 0
        self.report(models=())
        self.send_demands(loader_helper.demand('a1'))
        self.assert_no_order()
        self.send_demands(loader_helper.demand('a1'), endpoint='i-2')
        self.assertEqual('i-2', self.order().endpoint)


class RoomTest(loader_helper.LoaderTestCase):
    def test_loading_adapters_take_slots(self):
        """Loading adapters take slots; one too many crashes the endpoint."""
        self.report(
            held=[loader_helper.adapter_version('a1')],
            loading=[loader_helper.adapter_version('a2')],
        )
        self.send_demands(
            loader_helper.demand('a3'), loader_helper.demand('a1', 0, 1)
        )
        self.assert_no_order()

    def test_least_needed_adapter_is_evicted(self):
        self.report(
            held=[
                loader_helper.adapter_version('a1'),
                loader_helper.adapter_version('a2'),
            ]
        )
        self.send_demands(
            loader_helper.demand('a1', 0, 0, 2.0),
            loader_helper.demand('a2', 0, 0, 0.1),
            loader_helper.demand('a3'),
        )
        order = self.order()
        self.assertEqual((False, 'm/a2'), (order.load, order.name))

    def test_adapter_in_use_is_not_evicted(self):
        """An unload waits for the runs and blocks its slot until then."""
        self.report(
            held=[
                loader_helper.adapter_version('a1'),
                loader_helper.adapter_version('a2'),
            ]
        )
        self.send_demands(
            loader_helper.demand('a1', 0, 1),
            loader_helper.demand('a2', 0, 1),
            loader_helper.demand('a3'),
        )
        self.assert_no_order()

    def test_busy_adapter_is_not_evicted_for_a_single_request(self):
        self.report(
            held=[
                loader_helper.adapter_version('a1'),
                loader_helper.adapter_version('a2'),
            ]
        )
        self.send_demands(
            loader_helper.demand('a1', 0, 0, 8.0),
            loader_helper.demand('a2', 0, 0, 8.0),
            loader_helper.demand('a3'),
        )
        self.assert_no_order()


class VersionTest(loader_helper.LoaderTestCase):
    def test_idle_adapter_is_replaced_by_its_newer_version(self):
        self.report(held=[loader_helper.adapter_version('a1')])
        self.send_demands(loader_helper.demand('a1', version='2'))
        self.assertEqual('m/a1', self.order().name)

    def test_version_in_use_is_not_replaced_under_its_runs(self):
        """A replacement waits for the runs and refuses new ones until then."""
        self.report(held=[loader_helper.adapter_version('a1')])
        self.send_demands(loader_helper.demand('a1', 1, 2, version='2'))
        self.assert_no_order()

    def test_version_is_replaced_for_requests_that_must_not_begin(self):
        """Guards against queued requests that keep an old version in use.

        The endpoint answers that they have not run as soon as it accepts the
        order.
        """
        self.report(held=[loader_helper.adapter_version('a1')])
        entry = loader_helper.demand(
            'a1', 0, 2, version='2', queued=2, overdue=1
        )
        self.send_demands(entry)
        self.assertEqual('m/a1', self.order().name)

    def test_queued_requests_that_may_still_begin_are_not_returned(self):
        self.report(held=[loader_helper.adapter_version('a1')])
        entry = loader_helper.demand('a1', 1, 2, version='2', queued=2)
        self.send_demands(entry)
        self.assert_no_order()

    def test_overdue_requests_come_before_other_loads(self):
        """Guards against a replacement that waits for busier adapters."""
        self.report(held=[loader_helper.adapter_version('a1')])
        entry = loader_helper.demand(
            'a1', 0, 1, version='2', queued=1, overdue=1
        )
        self.send_demands(loader_helper.demand('a0', 9), entry)
        self.assertEqual('m/a1', self.order().name)

    def test_urgent_request_goes_before_as_many_less_urgent_ones(self):
        """Guards against urgent callers behind others in a burst.

        The burst is for rare adapters, of which each needs a load.
        """
        self.report()
        common = loader_helper.demand('a1', 2, urgency=2)
        urgent = loader_helper.demand('a2', 1, urgency=3)
        self.send_demands(common, urgent)
        self.assertEqual('m/a2', self.order().name)

    def test_demand_without_urgency_is_ordered_by_requests(self):
        """Guards against another order where prompts are not admitted."""
        self.report()
        self.send_demands(
            loader_helper.demand('a1', 1), loader_helper.demand('a2', 2)
        )
        self.assertEqual('m/a2', self.order().name)

    def test_version_with_runs_is_not_replaced_for_queued_requests(self):
        """Guards against an endpoint that loads nothing for seconds.

        It accepts no other order while a replacement waits for runs.
        """
        self.report(held=[loader_helper.adapter_version('a1')])
        entry = loader_helper.demand(
            'a1', 0, 5, version='2', queued=2, overdue=2
        )
        self.send_demands(entry)
        self.assert_no_order()

    def test_version_that_is_no_longer_held_is_not_loaded_for_them(self):
        self.report(held=[loader_helper.adapter_version('a2')])
        entry = loader_helper.demand(
            'a1', 0, 1, version='2', queued=1, overdue=1
        )
        self.send_demands(entry)
        self.assert_no_order()

    def test_nothing_is_ordered_while_a_replacement_is_under_way(self):
        """Guards against orders that the endpoint refuses until it ends."""
        names = ('a1', 'a2')
        held = [loader_helper.adapter_version(name) for name in names]
        self.report(held=held, busy=True)
        entry = loader_helper.demand(
            'a1', 1, 2, version='2', queued=2, overdue=2
        )
        self.send_demands(entry, loader_helper.demand('a3'), slots=3)
        self.assert_no_order()
        self.report(held=held)
        self.assertEqual('m/a1', self.order().name)

    def test_replacement_that_waits_for_runs_is_logged_once(self):
        """Without it a log can't tell why no order was sent."""
        entry = loader_helper.demand('a1', 0, 3, version='2', queued=2)
        self.report(held=[loader_helper.adapter_version('a1')])
        self.send_demands(entry)
        (line,) = self.logged('newer version waits for runs')
        self.assertEqual((3, 2), (line['in_flight'], line['queued']))
        self.send_demands(entry)
        self.assertEqual([], self.logged('newer version waits for runs'))


class ReportTest(loader_helper.LoaderTestCase):
    def test_loading_adapter_is_not_ready(self):
        self.send_demands()
        held = [
            loader_helper.adapter_version('a1'),
            loader_helper.adapter_version('a2'),
        ]
        self.report(
            held=held, loading=[loader_helper.adapter_version('a1', '2')]
        )
        report = self.sent(messages.Report)[-1]
        ready = [str(s.adapter) for s in report.slots if s.ready]
        self.assertEqual(['m/a2@1'], ready)

    def reports(self):
        return self.sent(messages.Report)

    def test_change_of_ready_adapters_is_reported_to_users_at_once(self):
        self.send_demands(loader_helper.demand('a2'), at_ms=990)
        self.report(held=[loader_helper.adapter_version('a1')], at_ms=1000)
        self.report(
            held=[
                loader_helper.adapter_version('a1'),
                loader_helper.adapter_version('a2'),
            ],
            at_ms=1010,
        )
        self.assertEqual(1, len(self.reports()))
        self.report(held=[loader_helper.adapter_version('a2')], at_ms=1020)
        self.assertEqual(1, len(self.reports()))

    def test_gateway_without_requests_here_is_sent_the_report_later(self):
        """Each load was reported to every gateway at once, twice.

        With sixty-eight gateways and sixty endpoints that was fourteen
        thousand messages a second, of which a few dozen were needed at once.
        """
        self.open_link('g2', events.Role.GATEWAY)
        self.send_demands(loader_helper.demand('a2'), at_ms=990)
        self.report(held=[loader_helper.adapter_version('a1')], at_ms=1000)
        held = [
            loader_helper.adapter_version('a1'),
            loader_helper.adapter_version('a2'),
        ]
        self.report(held=held, at_ms=1010)
        (sent,) = self.of_type(effects.Send)
        self.assertEqual(loader_helper.PEER, sent.peer)
        self.feed(events.Ticked(1100))
        self.assertEqual(
            {loader_helper.PEER, 'g2'},
            {effect.peer for effect in self.of_type(effects.Send)},
        )

    def test_waiting_tokens_of_all_gateways_are_reported(self):
        self.send_demands(waiting_tokens=2000)
        self.send_demands(waiting_tokens=3000, peer='g2')
        self.send_demands(waiting_tokens=4000, peer='g2')
        self.report(at_ms=1000)
        self.assertEqual(6000, self.reports()[-1].waiting_tokens)

    def test_new_revision_is_reported_early(self):
        """Gateways heard up to a second late that theirs was outdated."""
        self.send_demands()
        self.report(at_ms=0)
        self.send_demands(at_ms=300, revision=9)
        reported = [
            effect.message.revision
            for effect in self.of_type(effects.Send)
            if isinstance(effect.message, messages.Report)
        ]
        self.assertEqual([9], reported)

    def test_large_change_of_waiting_tokens_is_reported_early(self):
        self.send_demands(at_ms=990)
        self.report(at_ms=1000)
        self.send_demands(waiting_tokens=3999, at_ms=1110)
        self.assertEqual([], self.reports())
        self.send_demands(waiting_tokens=4000, at_ms=1120)
        self.assertEqual(4000, self.reports()[-1].waiting_tokens)

    def test_steps_of_a_load_are_reported_together(self):
        """Each waiting request and each order was reported to every gateway.

        With 27 gateways and 24 sidecars that was most of the traffic between
        failure domains.
        """
        sent = 0
        self.send_demands(at_ms=990)
        self.report(held=[loader_helper.adapter_version('a1')], at_ms=1000)
        for at_ms in range(1010, 1100, 10):
            self.send_demands(
                loader_helper.demand('a1', at_ms // 10), at_ms=at_ms
            )
            self.send_demands(loader_helper.demand(f'b{at_ms}'), at_ms=at_ms)
            sent += len(self.reports())
        self.assertEqual(0, sent)
        self.feed(events.Ticked(1100, 0.5))
        self.assertEqual(1, len(self.reports()))
        self.assertTrue(self.reports()[0].wanted)

    def test_begin_of_a_wanted_load_is_not_reported(self):
        """Gateways treat a wanted adapter and a loading one alike.

        Each load was reported three times to every gateway: when requests
        waited for it, when it began and when it ended.
        """
        self.send_demands(loader_helper.demand('a1'), at_ms=990)
        self.report(at_ms=1000)
        self.assertTrue(self.reports()[-1].wanted)
        loading = [loader_helper.adapter_version('a1')]
        self.report(loading=loading, at_ms=1200)
        self.assertEqual([], self.reports())

    def test_demand_of_a_silent_gateway_expires(self):
        self.report()
        self.send_demands(loader_helper.demand('a1', 0, 1))
        self.feed(events.Ticked(2501))
        self.assertEqual({}, self.state.demand.needs)

    def test_stop_ends_at_once(self):
        self.assertEqual([effects.Exit(0)], self.feed(events.StopRequested(0)))


class CrashTest(loader_helper.LoaderTestCase):
    def test_crash_is_forwarded_to_the_other_gateways(self):
        self.open_link('g2', events.Role.GATEWAY)
        crash = messages.Crashed('i-1 at g1', 's', ('print',))
        self.receive(crash, peer=loader_helper.PEER)
        (sent,) = self.of_type(effects.Send)
        self.assertEqual(('g2', crash), (sent.peer, sent.message))

    def test_cleared_request_is_forwarded_to_the_other_gateways(self):
        self.open_link('g2', events.Role.GATEWAY)
        cleared = messages.Cleared('print', ('i-1',))
        self.receive(cleared, peer=loader_helper.PEER)
        (sent,) = self.of_type(effects.Send)
        self.assertEqual(('g2', cleared), (sent.peer, sent.message))

    def test_clearing_of_a_part_is_forwarded_once(self):
        """Guards against a clearing from each gateway to each, at a loss."""
        for peer in ('g2', 'g3'):
            self.open_link(peer, events.Role.GATEWAY)
        cleared = messages.Cleared('part:b', ('i-1',))
        for peer, at_ms, count in (('g1', 0, 2), ('g2', 4, 0), ('g3', 60, 2)):
            self.receive(cleared, at_ms, peer)
            self.assertEqual(count, len(self.of_type(effects.Send)))


class KeptCrashesTest(loader_helper.LoaderTestCase):
    """Crashes that a sidecar keeps for gateways that start."""

    def crash(self, ended, *fingerprints, at_ms=0):
        run = messages.LostRun(0, 500, 100)
        runs = (run,) * len(fingerprints)
        crash = messages.Crashed(f'{ended} at g1', 's', fingerprints, runs)
        self.receive(crash, at_ms, loader_helper.PEER)

    def ask(self, at_ms=0):
        self.receive(messages.CrashesWanted(), at_ms, 'g2')
        (kept,) = self.sent(messages.KeptCrashes)
        return kept

    def test_ages_are_those_of_the_crash(self):
        self.crash('i-1', 'a', 'b', at_ms=1000)
        self.receive(messages.Cleared('a', ('i-1',)), 1100, 'g3')
        run = messages.LostRun(0, 2900, 2100)
        crash = messages.KeptCrash('i-1', 's', 2100, ('b',), (run,), True)
        self.assertEqual(
            messages.KeptCrashes(3000, (crash,)), self.ask(at_ms=3000)
        )

    def test_forgotten_crash_is_not_told_and_nothing_is_forwarded(self):
        self.open_link('g3', events.Role.GATEWAY)
        self.crash('i-1', 'a')
        self.receive(messages.ForgetCrashes('a', ('i-1',)), 10, 'g2')
        self.assertEqual([], self.effects)
        self.assertEqual((), self.ask(at_ms=20).crashes)

    def test_answer_is_limited_to_those_that_crashed_most(self):
        """Guards against answers that grow after a failure domain is lost."""
        for number in range(3):
            self.crash(f'culprit-{number}', 'bad', at_ms=number * 5000)
        innocents = [f'good-{number}' for number in range(3000)]
        self.crash('i-1', *innocents, at_ms=15_000)
        kept = self.ask(at_ms=20_000)
        fingerprints = [
            name for crash in kept.crashes for name in crash.fingerprints
        ]
        self.assertEqual(32, len(fingerprints))
        self.assertEqual(3, fingerprints.count('bad'))
        self.assertEqual(2000, len(self.state.suspects.suspicions))
