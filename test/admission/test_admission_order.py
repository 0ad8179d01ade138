"""Which waiting request is granted next, and how much at once."""

import unittest

from berylhollow import admission
from berylhollow import messages

BATCH_TOKENS = 5760
"""What is read in 0.8 * 400 ms less four steps of 8 ms, at 0.05 ms each."""

QUIET_MS = 24
"""Three steps of 8 ms, which follow the step of the last first event."""


class AdmissionsTestCase(unittest.TestCase):
    def setUp(self):
        self.admissions = admission.Admissions()

    def want(self, name, tokens=BATCH_TOKENS, at_ms=0, **changes):
        values = {
            'priority': 0,
            'workspace': '',
            'objective_ms': 5000,
            'event_gap_ms': 400,
            'event_steps': 4,
        }
        wanted = messages.AdmissionWanted(name, tokens, **values | changes)
        return self.names(self.admissions.want('g', wanted, at_ms))

    def end(self, name, at_ms=0, begun=True):
        """Return what is granted now and after the steps of an event."""
        grants = self.admissions.end('g', name, begun, at_ms)
        grants += self.admissions.advance(at_ms + QUIET_MS)
        return self.names(grants)

    def names(self, grants):
        return [grant.request_id for grant in grants]

    def grant_all(self, at_ms=0):
        """Return the order of the grants if each batch begins at once."""
        order = []
        while granted := [*self.admissions.budget.granted]:
            for key in granted:
                order.append(key.request_id)
                self.end(key.request_id, at_ms)
            at_ms += QUIET_MS
        return order


class BatchTest(AdmissionsTestCase):
    def test_batch_is_what_is_read_within_the_gap(self):
        """8,400 prompt tokens in succession delayed answers by over 400 ms."""
        self.assertEqual(['a'], self.want('a', BATCH_TOKENS - 1000))
        self.assertEqual(['b'], self.want('b', 1000))
        self.assertEqual([], self.want('c', 1))
        self.assertEqual([], self.end('a', 300))
        self.assertEqual(['c'], self.end('b', 360))

    def test_answers_get_an_event_between_two_batches(self):
        """Two batches in succession made one gap of twice the limit."""
        self.want('a')
        self.want('b')
        ended = self.admissions.end('g', 'a', True, 300)
        early = self.admissions.advance(300 + QUIET_MS - 1)
        self.assertEqual([], self.names(ended + early))
        later = self.admissions.advance(300 + QUIET_MS)
        self.assertEqual(['b'], self.names(later))

    def test_request_that_the_batch_makes_late_is_put_behind(self):
        """In an overload all grants went to requests that were late then."""
        self.want('a', BATCH_TOKENS)
        self.want('late', 1000, objective_ms=450)
        self.want('timely', BATCH_TOKENS, objective_ms=1000)
        self.assertEqual(['timely'], self.end('a', 300))

    def test_first_prompt_is_granted_whatever_its_size(self):
        """A prompt above the limit would never be read."""
        self.assertEqual(['a'], self.want('a', 2 * BATCH_TOKENS))

    def test_request_that_never_begins_expires(self):
        """A killed gateway would block an endpoint forever."""
        self.want('a')
        self.want('b')
        self.assertEqual([], self.admissions.advance(1751))
        self.assertEqual(['b'], self.names(self.admissions.advance(1752)))
        self.assertEqual(1, self.admissions.take_expired())

    def test_lost_grant_is_repeated_and_counts_once(self):
        """A request whose grant was lost waited, and its tokens blocked."""
        self.want('a', 4000)
        self.assertEqual(['a'], self.want('a', 4000, at_ms=100))
        self.assertEqual(['b'], self.want('b', 1700, at_ms=100))

    def test_only_batches_that_were_read_are_measured(self):
        """Failed requests and small prompts gave a wrong pace."""
        for name, tokens, begun in (('a', 999, True), ('b', 4000, False)):
            self.want(name, tokens)
            self.end(name, 3000, begun)
        self.assertEqual(0.05, self.admissions.token_ms)
        self.want('c', 2000, at_ms=5000)
        self.end('c', 5210)
        self.assertAlmostEqual(0.06, self.admissions.token_ms)
        self.assertEqual(0.105, self.admissions.read_share(5210))

    def test_full_queue_takes_no_more(self):
        """A flood of requests took memory and time without a limit."""
        for number in range(2049):
            self.want(str(number))
        self.assertEqual(2048, self.admissions.waiting)
        self.want('more')
        self.assertIsNone(self.admissions.queued_wait_ms('g', 'more'))

    def test_expected_wait_is_about_the_actual_one(self):
        """Callers were told to come back after 400 ms, whatever the wait."""
        self.want('a', 6000)
        for name in 'bcd':
            self.want(name, 6000)
        wait_ms = self.admissions.queued_wait_ms('g', 'd')
        self.assertAlmostEqual(3 * (6000 * 0.05 + 32), wait_ms, delta=60)


class OrderTest(AdmissionsTestCase):
    def setUp(self):
        super().setUp()
        self.want('first')

    def check_order(self, *expected, at_ms=0):
        self.assertEqual(['first', *expected], self.grant_all(at_ms))

    def test_least_time_left_goes_first_and_then_the_oldest(self):
        """The first request to check got the capacity, however urgent."""
        self.want('late', objective_ms=3000)
        self.want('later', objective_ms=3000)
        self.want('early', objective_ms=2000)
        self.check_order('early', 'late', 'later')

    def test_priority_counts_as_time_left(self):
        """Urgent requests waited behind less urgent ones."""
        self.want('low', objective_ms=2000, priority=2)
        self.want('urgent', objective_ms=2299)
        self.want('patient', objective_ms=2301)
        self.check_order('urgent', 'low', 'patient')

    def test_request_that_can_not_be_in_time_waits(self):
        """A request past hope made another one late as well."""
        self.want('hopeless', objective_ms=500)
        self.want('timely', objective_ms=2000)
        self.check_order('timely', 'hopeless', at_ms=400)

    def test_one_in_eight_is_the_oldest_late_one(self):
        """Late requests starved while others could still be in time."""
        for number in range(2):
            self.want(f'late{number}', objective_ms=-1)
        for number in range(14):
            self.want(str(number), objective_ms=20_000)
        order = self.grant_all()
        self.assertEqual([8, 16], [order.index(f'late{n}') for n in (0, 1)])

    def test_workspace_beyond_its_share_goes_after_others(self):
        """A workspace that floods delayed all others."""
        self.want('flood', workspace='w1', objective_ms=4900)
        self.want('more flood', workspace='w1')
        self.want('usual', workspace='w2', objective_ms=5050)
        self.check_order('flood', 'usual', 'more flood')

    def test_asking_anew_replaces_and_keeps_the_age(self):
        """A request that asked twice was granted twice, or lost its age."""
        for name in ('a', 'b', 'a'):
            self.want(name)
        self.check_order('a', 'b')

    def test_gone_callers_and_gateways_are_not_granted(self):
        """What nobody waits for any more took the endpoint's time."""
        for name in 'ab':
            self.want(name)
        self.end('a', begun=False)
        self.assertEqual(1, self.admissions.waiting)
        self.admissions.drop_gateway('g', 0)
        self.check_order()


class CostTest(AdmissionsTestCase):
    def test_no_event_visits_all_that_wait(self):
        """With 1,000 waiting, each event sorted them all."""
        calls = []
        queue = self.admissions.queue
        excess_ms = queue.excess_ms
        queue.excess_ms = lambda *of: calls.append(of) or excess_ms(*of)
        for number in range(1000):
            self.want(str(number), workspace=str(number))
        calls.clear()
        self.end('0', at_ms=10)
        self.assertLess(len(calls), 40)
        for number in range(1, 1000):
            self.end(str(number), begun=False)
        self.assertEqual(0, self.admissions.waiting)
        self.assertLess(len(queue.expiries.entries), 100)
        self.assertEqual({}, queue.lanes)
