"""Tests of fair queueing and of early refusals at the sidecar."""

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
    """An engine with four places, two adapters loaded, all places taken."""

    def setUp(self):
        self.begin(sidecar.reduce, builders.sidecar_state())
        self.feed(events.Appended(0, 'takeovers', 'incarnation-1', 6))
        self.feed(builders.engine_status())
        self.feed(events.LinkOpened(0, 'g1', events.Role.GATEWAY, 'i1'))
        for number, name in enumerate(('a1', 'a2')):
            self.offer(f'load{number}.1', 0, adapter=builders.adapter(name))
            (order,) = self.of_type(effects.LoadAdapter)
            self.feed(events.LoadSucceeded(0, order.order_id, 'epoch-1'))
        self.end('load0.1', RUN_MS)
        self.end('load1.1', RUN_MS)
        for number in range(4):
            self.offer(f'full{number}.1', RUN_MS, caller=f'early-{number}')

    def offer(self, attempt_id, at_ms=RUN_MS, **changes):
        values = {'output_tokens': TOKENS} | changes
        message = builders.offer(attempt_id, **values)
        return self.receive(message, at_ms, 'g1')

    def end(self, attempt_id, at_ms=RUN_MS):
        """End a run and return the attempts that begin in its place."""
        self.feed(events.RunEnded(at_ms, attempt_id, 0))
        return [run.attempt_id for run in self.of_type(effects.StartRun)]

    def drain(self):
        """End the runs one by one; return what began, in order."""
        ends = [f'full{number}.1' for number in range(4)]
        for attempt_id in ends:
            ends += self.end(attempt_id)
        return [attempt_id.split('.')[0] for attempt_id in ends[4:]]


class FairQueueTest(TurnsTestCase):
    def test_a_greedy_caller_does_not_go_before_the_others(self):
        """A firm's one request is late whenever another firm has a rush.

        Six requests of a greedy caller wait when one of another comes; it
        is served after all of them. Cause: first come, first served.
        """
        for number in range(6):
            self.offer(f'greedy{number}.1', caller='greedy')
        self.offer('modest.1', caller='modest')
        self.assertLess(self.drain().index('modest'), 2)

    def test_what_runs_counts_for_a_callers_turn(self):
        for number in range(2):
            self.offer(f'greedy{number}.1', caller='early-0')
            self.offer(f'modest{number}.1', caller='modest')
        began = self.drain()
        self.assertEqual('modest0', began[0])

    def test_adapters_of_one_caller_take_turns(self):
        """A rush for one adapter makes all else of its firm late."""
        for number in range(6):
            self.offer(f'hot{number}.1')
        self.offer('cold.1', adapter=builders.adapter('a2'))
        self.assertLess(self.drain().index('cold'), 2)

    def test_priority_orders_a_callers_requests(self):
        self.offer('low.1', priority=1)
        self.offer('high.1', priority=9)
        self.assertEqual(['high', 'low'], self.drain())

    def test_priority_takes_nothing_from_other_callers(self):
        """Who marks everything as urgent is served before all others."""
        for number in range(4):
            self.offer(f'loud{number}.1', caller='loud', priority=9)
            self.offer(f'quiet{number}.1', caller='quiet', priority=0)
        began = [name[:-1] for name in self.drain()]
        self.assertEqual(2, began[:4].count('quiet'))

    def test_idle_time_gives_no_arrears(self):
        """A firm that was idle all night takes every place in the morning."""
        self.state.caller_shares.virtual_time = 1_000_000.0
        self.state.caller_shares.work = {'busy': 1_000_000.0}
        for number in range(4):
            self.offer(f'idle{number}.1', caller='idle')
            self.offer(f'busy{number}.1', caller='busy')
        began = [name[:-1] for name in self.drain()]
        self.assertEqual(2, began[:4].count('busy'))

    def test_names_that_callers_make_up_are_forgotten(self):
        ends = [f'full{number}.1' for number in range(4)]
        for number in range(3000):
            self.offer(f'r{number}.1', caller=f'made-up-{number}')
            ends += self.end(ends.pop(0))
        known = len(self.state.caller_shares.work)
        known += len(self.state.adapter_shares)
        self.assertLess(known, 2100)


class SheddingTest(TurnsTestCase):
    def wait_for(self, count):
        for number in range(count):
            self.offer(f'before{number}.1', caller=f'caller-{number}')

    def test_what_would_be_late_is_refused_at_once(self):
        """A caller on hold hears "not run" only when its time is over.

        Eight requests wait for four places, each run takes a second, and
        one comes that has two. Cause: it waits until its deadline.
        """
        self.wait_for(8)
        self.offer('late.1', caller='z', remaining_ms=2000)
        failed = self.failure()
        self.assertEqual(errors.Kind.CANNOT_BE_ON_TIME, failed.kind)
        self.assertEqual(errors.Ran.NOT_RUN, failed.ran)
        self.assertGreater(failed.retry_after_ms, 0)

    def test_what_can_be_on_time_waits(self):
        self.wait_for(8)
        self.offer('patient.1', caller='z', remaining_ms=8000)
        self.assertEqual([], self.sent(messages.Failed))
        self.assertIn('patient', self.drain())

    def test_no_run_begins_that_must_end_too_late(self):
        """Engines are busy with answers that nobody waits for any more."""
        self.offer('doomed.1', remaining_ms=2500)
        self.assertEqual([], self.sent(messages.Failed))
        self.feed(events.Ticked(RUN_MS + 1600))
        self.assertEqual('doomed.1', self.failure().attempt_id)

    def test_a_greedy_callers_rush_is_refused_before_the_others(self):
        for number in range(40):
            self.offer(f'g{number}.1', caller='greedy', remaining_ms=4000)
        self.offer('modest.1', caller='modest', remaining_ms=4000)
        refused = [failed.attempt_id for failed in self.sent(messages.Failed)]
        self.assertNotIn('modest.1', refused)
        self.assertLess(len(self.state.queue), 20)

    def test_an_engine_that_never_ran_anything_refuses_nothing(self):
        self.state.run_ms = 0.0
        self.offer('first.1', remaining_ms=1)
        self.assertEqual([], self.sent(messages.Failed))

    def test_waiting_for_a_load_is_not_judged_by_the_queue(self):
        self.wait_for(8)
        cold = builders.adapter('a2', '2')
        self.offer('cold.1', remaining_ms=2000, adapter=cold)
        self.assertEqual([], self.sent(messages.Failed))
