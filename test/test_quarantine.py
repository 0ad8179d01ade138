"""Tests of requests that crash endpoints: suspects and quarantine."""

import dataclasses
import unittest

import cbor2

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import gateway
from berylhollow import messages
from berylhollow import quarantine
from berylhollow import sidecar
from test import builders
from test import helper

GATEWAY = events.Role.GATEWAY
ENDPOINT = events.Role.ENDPOINT
FINGERPRINT = 'print-of-r1'


def crash(crash_id, *fingerprints, runs=()):
    return messages.Crashed(crash_id, builders.SERVICE, fingerprints, runs)


def lost_run(known=0, began_ms_ago=30, lost_ms_ago=0):
    return messages.LostRun(known, began_ms_ago, lost_ms_ago)


class SidecarCrashTest(helper.ReducerTestCase):
    def setUp(self):
        self.begin(sidecar.reduce, builders.sidecar_state())
        self.feed(events.Appended(0, 'takeovers', 'incarnation-1', 6))
        self.feed(builders.engine_status())
        self.open_link('g1', GATEWAY)

    def run_two(self):
        self.receive(builders.offer('r1.1'), peer='g1')
        (order,) = self.of_type(effects.LoadAdapter)
        self.feed(events.LoadSucceeded(1, order.order_id, 'epoch-1'))
        self.receive(builders.offer('r2.1'), peer='g1')

    def break_run(self, attempt_id, at_ms=5):
        kind, ran = errors.Kind.ENDPOINT_FAILED, errors.Ran.UNKNOWN
        self.feed(events.RunFailed(at_ms, attempt_id, kind, ran, True))

    def test_suspects_are_sent_before_their_attempts_fail(self):
        """Guards against a request that crashes one engine after another.

        If the gateway hears of the failed attempt before it hears of the
        suspicion, it retries the request at the next engine beside others.
        """
        self.run_two()
        self.break_run('r1.1')
        kinds = [type(item.message) for item in self.of_type(effects.Send)]
        self.assertEqual([messages.Crashed, messages.Failed], kinds)
        (crashed,) = self.sent(messages.Crashed)
        self.assertEqual(
            {'print-of-r1.1', 'print-of-r2.1'}, set(crashed.fingerprints)
        )

    def test_crash_is_reported_once_per_epoch(self):
        self.run_two()
        self.break_run('r1.1')
        self.break_run('r2.1')
        self.assertEqual([], self.sent(messages.Crashed))

    def test_crash_after_a_single_broken_connection_is_reported(self):
        """Guards against a real crash that is not reported.

        The engine drops one connection and keeps running, which looks like
        a crash; then it does crash. If only one crash an epoch were reported,
        the request could crash one engine more than allowed.
        """
        self.run_two()
        self.break_run('r1.1')
        self.feed(builders.engine_status(at_ms=8))
        self.break_run('r2.1', 9)
        self.assertEqual(1, len(self.sent(messages.Crashed)))

    def test_crash_seen_only_by_the_new_epoch_is_reported(self):
        self.run_two()
        self.feed(builders.engine_status('epoch-2', at_ms=9))
        self.assertEqual(1, len(self.sent(messages.Crashed)))

    def test_report_says_when_runs_began_and_what_was_known(self):
        self.run_two()
        self.break_run('r1.1')
        (crashed,) = self.sent(messages.Crashed)
        self.assertEqual(
            (lost_run(0, began_ms_ago=5), lost_run(0, began_ms_ago=4)),
            crashed.runs,
        )

    def test_report_of_a_run_that_began_as_a_suspect_says_so(self):
        self.receive(builders.offer('r1.1', isolate=True), peer='g1')
        (order,) = self.of_type(effects.LoadAdapter)
        self.feed(events.LoadSucceeded(1, order.order_id, 'epoch-1'))
        self.break_run('r1.1')
        (crashed,) = self.sent(messages.Crashed)
        self.assertEqual([1], [run.crashes_known for run in crashed.runs])

    def test_suspect_runs_alone(self):
        self.run_two()
        self.receive(builders.offer('r3.1', isolate=True), peer='g1')
        self.assertEqual([], self.of_type(effects.StartRun))
        self.receive(builders.offer('r4.1'), peer='g1')
        self.assertEqual([], self.of_type(effects.StartRun))
        self.feed(events.RunEnded(6, 'r1.1', 1), events.RunEnded(6, 'r2.1', 1))
        (run,) = self.of_type(effects.StartRun)
        self.assertEqual('r3.1', run.attempt_id)
        self.feed(events.RunEnded(7, 'r3.1', 1))
        (run,) = self.of_type(effects.StartRun)
        self.assertEqual('r4.1', run.attempt_id)


class GatewayQuarantineTest(helper.ReducerTestCase):
    def setUp(self):
        self.begin(gateway.reduce, builders.gateway_state())
        rows = tuple(builders.instance(name) for name in ('e1', 'e2'))
        self.feed(events.InstancesListed(0, rows))
        for name in ('e1', 'e2'):
            self.open_link(name, ENDPOINT)

    def send(self, request_id='r1', at_ms=0, **changes):
        values = {'fingerprint': FINGERPRINT} | changes
        request = builders.request(request_id, **values)
        return self.feed(events.RequestArrived(at_ms, request))

    def kinds(self):
        return [item.kind for item in self.of_type(effects.AnswerError)]

    def test_request_alone_at_one_crash_is_not_refused(self):
        """Guards against refusing a request that only happened to run alone.

        The engine was restarted while it ran no other request, so a single
        crash is no proof.
        """
        self.receive(crash('c1', FINGERPRINT))
        self.send()
        (offer,) = self.sent(messages.Offer)
        self.assertTrue(offer.isolate)

    def test_resend_of_a_suspect_is_isolated(self):
        self.receive(crash('c1', FINGERPRINT, 'innocent'))
        self.send()
        (offer,) = self.sent(messages.Offer)
        self.assertTrue(offer.isolate)

    def test_suspect_that_crashes_alone_is_refused_until_it_expires(self):
        self.receive(crash('c1', FINGERPRINT, 'innocent'))
        self.receive(crash('c2', FINGERPRINT))
        self.send()
        self.assertEqual([errors.Kind.QUARANTINED], self.kinds())
        (answer,) = self.of_type(effects.AnswerError)
        self.assertIs(errors.Ran.NOT_RUN, answer.ran)
        self.send('r2', at_ms=answer.retry_after_ms)
        self.assertEqual(1, len(self.sent(messages.Offer)))

    def test_endpoints_lost_in_one_moment_count_as_one_crash(self):
        """Guards against refusals after a failure domain loses power."""
        for number in range(3):
            self.receive(
                crash(f'c{number}', FINGERPRINT, runs=(lost_run(),)),
                at_ms=2 * number,
            )
        self.send(at_ms=10)
        (offer,) = self.sent(messages.Offer)
        self.assertTrue(offer.isolate)
        self.assertEqual(1, offer.crashes_known)

    def test_retry_is_refused_once_the_request_is_quarantined(self):
        """Guards against a request that crashes three engines in a row.

        The request crashes its second engine, alone. The gateway's own retry
        must check the quarantine before it offers the request to a third.
        """
        self.receive(crash('c0', FINGERPRINT, 'innocent'))
        self.send()
        (send,) = self.of_type(effects.Send)
        self.receive(crash('c1', FINGERPRINT), peer=send.peer)
        lost = messages.Failed(
            send.message.attempt_id,
            errors.Kind.ENGINE_RESTARTED,
            errors.Ran.UNKNOWN,
        )
        self.receive(lost, peer=send.peer)
        self.assertEqual([], self.sent(messages.Offer))
        self.assertEqual([errors.Kind.QUARANTINED], self.kinds())

    def test_suspect_that_ran_well_alone_is_cleared(self):
        self.receive(crash('c1', FINGERPRINT, 'other'))
        self.send()
        (offer,) = self.sent(messages.Offer)
        self.feed(events.AnswerRelayed(1, 'r1', offer.attempt_id, 200))
        self.send('r2')
        (offer,) = self.sent(messages.Offer)
        self.assertFalse(offer.isolate)

    def test_crash_is_forwarded_once(self):
        self.open_link('g2', GATEWAY)
        self.receive(crash('c1', FINGERPRINT))
        self.assertEqual(1, len(self.sent(messages.Crashed)))
        self.receive(crash('c1', FINGERPRINT), peer='g2')
        self.assertEqual([], self.sent(messages.Crashed))

    def test_new_gateway_learns_from_the_log_and_a_lift_clears(self):
        records = [
            quarantine.Crash('c1', builders.SERVICE, (FINGERPRINT,)),
            quarantine.Crash('c2', builders.SERVICE, (FINGERPRINT,)),
            quarantine.Lift(FINGERPRINT, 'operator-1'),
        ]
        *crashes, lift = (
            messages.LogEntry(offset, 0, quarantine.encode(record))
            for offset, record in enumerate(records)
        )
        stream = quarantine.STREAM
        self.feed(events.LogRead(1, stream, tuple(crashes), 0, 2))
        self.send()
        self.assertEqual([errors.Kind.QUARANTINED], self.kinds())
        self.feed(events.LogRead(2, stream, (lift,), 0, 3))
        self.send('r2')
        self.assertEqual(1, len(self.sent(messages.Offer)))


class SuspectsTest(unittest.TestCase):
    def setUp(self):
        self.suspects = quarantine.Suspects(quarantine.Rules())

    def count(self, crash_id, at_ms, *runs, others=()):
        """Count a crash of 'f', whose run is the first, and of others."""
        prints = ('f', *others)
        record = quarantine.Crash(crash_id, 's', prints, runs)
        return self.suspects.count_crash(record, at_ms)

    def test_losses_in_one_moment_after_a_known_crash_count_once_more(self):
        """Guards against a quarantine after two moments, one of many losses.

        The runs at all endpoints began when one crash was known.
        """
        others = ('g',)
        self.count('a at g1', 0, lost_run(), others=others)
        for number in range(3):
            crash_id = f'b{number} at g{number}'
            self.count(crash_id, 9000, lost_run(known=1), others=others)
        self.assertEqual(2, self.suspects.crashes('f'))
        self.assertEqual(0, self.suspects.quarantined_ms('f', 9000))

    def test_culprit_that_is_repeated_before_a_crash_is_known_counts(self):
        """Guards against a culprit that takes down one endpoint more.

        Each run began a second after the one before had been lost, at one
        gateway after the other, before any of them knew of a crash.
        """
        self.count('a at g1', 4000, lost_run(0, 4000, 3900))
        self.count('b at g2', 4000, lost_run(0, 2900, 2800))
        quarantined = self.count('c at g3', 4000, lost_run(0, 1800, 1700))
        self.assertEqual(['f'], quarantined)

    def test_culprit_that_is_repeated_quickly_at_one_gateway_counts(self):
        """Guards against a culprit that takes down one endpoint more.

        It is repeated 0.15 s after each failure, before a crash is known.
        """
        quarantined = []
        for number, lost_ms_ago in enumerate((2900, 2720, 2540)):
            run = lost_run(0, lost_ms_ago + 30, lost_ms_ago)
            record = quarantine.Crash(f'{number} at g1', 's', ('f',), (run,))
            quarantined += self.suspects.count_crash(record, 4000, is_own=True)
        self.assertEqual(['f'], quarantined[:1])

    def test_runs_lost_in_one_moment_at_slow_gateways_count_once(self):
        """Guards against delayed reports that look like later crashes."""
        for number, at_ms in enumerate((1000, 1200, 1400)):
            crash_id = f'{number} at g{number}'
            self.count(crash_id, at_ms, lost_run(0, 40, 0))
        self.assertEqual(1, self.suspects.crashes('f'))

    def test_run_that_began_after_the_first_loss_there_does_not_count(self):
        """Guards against counting runs sent to an endpoint that is down.

        Its proxy still takes connections. The gateway learnt of the first
        crash, sent the request to the next endpoint of the same failure
        domain, and lost it there; another had lost a run there before.
        """
        self.count('a at g1', 2000, lost_run(0, 2010, 2000), others=('g',))
        crash = quarantine.Crash(
            'b at g2', 's', ('h',), (lost_run(0, 2090, 2080),)
        )
        self.suspects.count_crash(crash, 2080)
        self.count('b at g1', 3000, lost_run(1, 900, 895))
        self.assertEqual(1, self.suspects.crashes('f'))

    def test_culprit_stays_quarantined_if_its_first_crash_had_company(self):
        self.count('a at g1', 0, lost_run())
        self.count('b at g1', 9000, lost_run(known=1))
        late = quarantine.Crash('a at g2', 's', ('h',), (lost_run(),))
        self.suspects.count_crash(late, 9001)
        self.assertEqual([], self.suspects.withdraw(late, 9001))
        self.assertGreater(self.suspects.quarantined_ms('f', 9001), 0)

    def test_one_moment_quarantines_once(self):
        self.count('a', 0, lost_run())
        quarantined = [
            self.count(name, 9000, lost_run(known=1)) for name in ('b', 'c')
        ]
        self.assertEqual([['f'], []], quarantined)

    def test_record_of_an_older_process_has_no_runs(self):
        older = cbor2.dumps([1, 'a at g1', 's', ['f', 'g']])
        self.assertEqual(
            quarantine.Crash('a at g1', 's', ('f', 'g')),
            quarantine.decode(older),
        )

    def test_record_keeps_its_runs(self):
        record = quarantine.Crash('a', 's', ('f',), (lost_run(1, 20, 3),))
        self.assertEqual(record, quarantine.decode(quarantine.encode(record)))

    def test_repeated_quarantine_lasts_longer(self):
        suspects = quarantine.Suspects(quarantine.Rules(quarantine_ms=100))
        for crash_id, at_ms in (('c1', 0), ('c2', 0), ('c3', 150)):
            suspects.count_crash(
                quarantine.Crash(crash_id, 's', ('f',)), at_ms
            )
        self.assertEqual(200, suspects.quarantined_ms('f', 150))

    def test_request_beside_few_crashes_is_not_quarantined(self):
        suspects = quarantine.Suspects(quarantine.Rules(crashes=3))
        for number in range(2):
            record = quarantine.Crash(f'c{number}', 's', ('f', 'g'))
            self.assertEqual([], suspects.count_crash(record, 0))
        record = quarantine.Crash('c9', 's', ('f', 'h'))
        self.assertEqual(['f'], suspects.count_crash(record, 0))

    def test_suspicions_are_bounded_and_forgotten(self):
        suspects = quarantine.Suspects(
            quarantine.Rules(limit=10, suspect_ms=100)
        )
        for number in range(30):
            prints = (f'f{number}', f'g{number}')
            suspects.count_crash(
                quarantine.Crash(f'c{number}', 's', prints), 0
            )
        self.assertEqual(10, len(suspects.suspicions))
        suspects.forget_expired(100)
        self.assertEqual({}, suspects.suspicions)

    def test_crash_before_the_boot_counts_by_its_time(self):
        """Guards against wrong times where the clock begins at the boot.

        Two crashes, each alone as far as one sidecar says; another sidecar
        knows that the request had company at the second.
        """
        suspects = quarantine.Suspects(quarantine.Rules())
        for ended, age_ms in (('i-1', 90_000), ('i-2', 60_000)):
            run = messages.LostRun(0, age_ms + 10, age_ms)
            kept = messages.KeptCrash(
                ended, 's', age_ms, ('bad',), (run,), False
            )
            taken = quarantine.take_over(suspects, kept, 1000)
        self.assertEqual(('bad',), taken.quarantined)
        self.assertEqual(540_000, suspects.quarantined_ms('bad', 1000))
        kept = dataclasses.replace(kept, had_others=True)
        taken = quarantine.take_over(suspects, kept, 1010)
        self.assertEqual(('bad',), taken.withdrawn)
        self.assertEqual(0, suspects.quarantined_ms('bad', 1010))
        self.assertTrue(suspects.is_suspect('bad', 1010))

    def test_many_losses_do_not_drop_a_repeated_suspect(self):
        """Guards against a culprit that is forgotten with a failure domain."""
        suspects = quarantine.Suspects(quarantine.Rules(limit=10))
        for number in range(2):
            crash = quarantine.Crash(f'c{number}', 's', ('bad',))
            suspects.count_crash(crash, number)
        many = tuple(f'f{number}' for number in range(30))
        suspects.count_crash(quarantine.Crash('c9', 's', many), 2)
        self.assertEqual(10, len(suspects.suspicions))
        self.assertEqual(2, suspects.crashes('bad'))
        self.assertGreater(suspects.quarantined_ms('bad', 2), 0)

    def test_garbage_is_a_typed_error(self):
        for data in (b'', b'\xff', quarantine.encode.__name__.encode()):
            with self.assertRaises(quarantine.RecordError):
                quarantine.decode(data)
