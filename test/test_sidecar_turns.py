"""Tests of fair queueing and load shedding in the sidecar."""

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow import sidecar
from test import builders
from test import helper

RUN_MS = 1000
TOKENS = 100


class TurnsTestCase(helper.ReducerTestCase):
    """Engine with two loaded adapters and four runs, its maximum."""

    def setUp(self):
        self.begin(sidecar.reduce, builders.sidecar_state())
        self.feed(events.Appended(0, 'takeovers', 'incarnation-1', 6))
        self.feed(builders.engine_status())
        self.feed(events.LinkOpened(0, 'g1', events.Role.GATEWAY, 'i1'))
        for number, name in enumerate(('a1', 'a2')):
            self.offer(f'load{number}.1', 0, adapter=builders.adapter(name))
            (order,) = self.of_type(effects.LoadAdapter)
            self.feed(events.LoadSucceeded(0, order.order_id, 'epoch-1'))
        self.end_run('load0.1', RUN_MS)
        self.end_run('load1.1', RUN_MS)
        for number in range(4):
            self.offer(f'full{number}.1', RUN_MS, caller=f'early-{number}')

    def offer(self, attempt_id, at_ms=RUN_MS, **changes):
        values = {'output_tokens': TOKENS} | changes
        message = builders.offer(attempt_id, **values)
        return self.receive(message, at_ms, 'g1')

    def end_run(self, attempt_id, at_ms=RUN_MS):
        """End a run and return the attempts that start as a result."""
        self.feed(events.RunEnded(at_ms, attempt_id, 0))
        return [run.attempt_id for run in self.of_type(effects.StartRun)]

    def starting_order(self):
        """End the runs one by one and return the names of those started."""
        ends = [f'full{number}.1' for number in range(4)]
        for attempt_id in ends:
            ends += self.end_run(attempt_id)
        return [attempt_id.split('.')[0] for attempt_id in ends[4:]]


class FairQueueTest(TurnsTestCase):
    def test_greedy_caller_does_not_delay_the_others(self):
        """Guards against first come, first served between callers.

        Six requests of a greedy caller are queued when one of another caller
        arrives; it would be served after all of them.
        """
        for number in range(6):
            self.offer(f'greedy{number}.1', caller='greedy')
        self.offer('modest.1', caller='modest')
        self.assertLess(self.starting_order().index('modest'), 2)

    def test_running_requests_are_charged_to_their_caller(self):
        for number in range(2):
            self.offer(f'greedy{number}.1', caller='early-0')
            self.offer(f'modest{number}.1', caller='modest')
        began = self.starting_order()
        self.assertEqual('modest0', began[0])

    def test_adapters_of_one_caller_share_fairly(self):
        """A burst for one adapter must not delay its caller's other ones."""
        for number in range(6):
            self.offer(f'hot{number}.1')
        self.offer('cold.1', adapter=builders.adapter('a2'))
        self.assertLess(self.starting_order().index('cold'), 2)

    def test_priority_orders_a_callers_requests(self):
        self.offer('low.1', priority=1)
        self.offer('high.1', priority=9)
        self.assertEqual(['high', 'low'], self.starting_order())

    def test_priority_takes_nothing_from_other_callers(self):
        """A caller must not gain from giving all requests a high priority."""
        for number in range(4):
            self.offer(f'loud{number}.1', caller='loud', priority=9)
            self.offer(f'quiet{number}.1', caller='quiet', priority=0)
        began = [name[:-1] for name in self.starting_order()]
        self.assertEqual(2, began[:4].count('quiet'))

    def test_idle_time_gives_no_credit(self):
        """A caller that was idle for long must not take all the capacity."""
        self.state.caller_shares.virtual_time = 1_000_000.0
        self.state.caller_shares.work = {'busy': 1_000_000.0}
        for number in range(4):
            self.offer(f'idle{number}.1', caller='idle')
            self.offer(f'busy{number}.1', caller='busy')
        began = [name[:-1] for name in self.starting_order()]
        self.assertEqual(2, began[:4].count('busy'))

    def test_number_of_tracked_callers_is_limited(self):
        ends = [f'full{number}.1' for number in range(4)]
        for number in range(3000):
            self.offer(f'r{number}.1', caller=f'made-up-{number}')
            ends += self.end_run(ends.pop(0))
        known = len(self.state.caller_shares.work)
        known += len(self.state.adapter_shares)
        self.assertLess(known, 2100)


class SheddingTest(TurnsTestCase):
    def queue_attempts(self, count):
        for number in range(count):
            self.offer(f'before{number}.1', caller=f'caller-{number}')

    def test_attempt_that_would_be_late_is_refused_at_once(self):
        """Guards against refusing a late attempt only at its deadline.

        Eight requests are queued for a capacity of four, each run takes a
        second, and one arrives with a deadline of two seconds.
        """
        self.queue_attempts(8)
        self.offer('late.1', caller='z', remaining_ms=2000)
        failed = self.failure()
        self.assertEqual(errors.Kind.CANNOT_BE_ON_TIME, failed.kind)
        self.assertEqual(errors.Ran.NOT_RUN, failed.ran)
        self.assertGreater(failed.retry_after_ms, 0)

    def test_attempt_that_can_be_on_time_is_queued(self):
        self.queue_attempts(8)
        self.offer('patient.1', caller='z', remaining_ms=8000)
        self.assertEqual([], self.sent(messages.Failed))
        self.assertIn('patient', self.starting_order())

    def test_no_run_starts_that_would_end_too_late(self):
        """Engines must not work on answers that no caller waits for."""
        self.offer('doomed.1', remaining_ms=2500)
        self.assertEqual([], self.sent(messages.Failed))
        self.feed(events.Ticked(RUN_MS + 1600))
        self.assertEqual('doomed.1', self.failure().attempt_id)

    def test_requests_of_a_greedy_caller_are_refused_first(self):
        for number in range(40):
            self.offer(f'g{number}.1', caller='greedy', remaining_ms=4000)
        self.offer('modest.1', caller='modest', remaining_ms=4000)
        refused = [failed.attempt_id for failed in self.sent(messages.Failed)]
        self.assertNotIn('modest.1', refused)
        self.assertLess(len(self.state.queue), 20)

    def test_nothing_is_refused_before_the_first_run(self):
        self.state.run_ms = 0.0
        self.offer('first.1', remaining_ms=1)
        self.assertEqual([], self.sent(messages.Failed))

    def test_attempt_that_waits_for_a_load_is_not_shed(self):
        self.queue_attempts(8)
        cold = builders.adapter('a2', '2')
        self.offer('cold.1', remaining_ms=2000, adapter=cold)
        self.assertEqual([], self.sent(messages.Failed))
