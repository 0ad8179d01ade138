"""Tests of rate limits: requests that a lender lends to gateways."""

import random
import unittest

from berylhollow import rate_limits

ENDPOINT = 'i-1'


class LenderTest(unittest.TestCase):
    """A lender that is asked by several gateways."""

    def setUp(self):
        self.lender = rate_limits.Lender()

    def lend(self, at_ms, rate_per_s=2.0, wanted=1, gateway='g1'):
        return self.lender.lend(gateway, ENDPOINT, rate_per_s, wanted, at_ms)

    def test_new_lender_has_nothing_to_lend(self):
        """Guards against a second burst after a lender was replaced."""
        self.assertEqual(0, self.lend(0, wanted=9).count)
        self.assertEqual(1, self.lend(600).count)

    def test_wait_is_the_time_until_there_is_room(self):
        wait_ms = self.lend(0).wait_ms
        self.assertEqual(0, self.lend(wait_ms - 2).count)
        self.assertEqual(1, self.lend(wait_ms).count)

    def test_lowest_reported_rate_applies(self):
        self.lend(0, rate_per_s=1.0, gateway='g2')
        self.lend(0, rate_per_s=100.0)
        self.assertEqual(0, self.lend(900, 100.0, 9).count)
        self.assertGreater(self.lend(2500, 100.0, 9).count, 1)

    def test_endpoint_with_a_limit_of_zero_gets_an_occasional_request(self):
        """Guards against a limit of zero whose end is never noticed."""
        self.lend(0, rate_per_s=0.0)
        self.assertEqual(0, self.lend(5000, rate_per_s=0.0).count)
        self.assertEqual(1, self.lend(10_000, rate_per_s=0.0).count)


class LoanTest(unittest.TestCase):
    def setUp(self):
        self.loan = rate_limits.Loan()
        self.loan.set_lender('s1', 0)

    def ask(self, at_ms):
        self.loan.record_miss(at_ms)
        if self.loan.should_ask(at_ms):
            self.loan.begin_asking(2.0, at_ms)

    def test_loan_expires(self):
        """Guards against loans that are saved up and used all at once."""
        self.ask(0)
        self.loan.take_answer(1, 0, 10)
        self.assertEqual(1, self.loan.room(900))
        self.assertEqual(0, self.loan.room(1000))

    def test_answer_of_a_former_lender_is_ignored(self):
        """Guards against two lenders that lend for the same time."""
        self.ask(0)
        self.loan.set_lender('', 5)
        self.loan.set_lender('s2', 2000)
        self.loan.take_answer(1, 0, 2001)
        self.assertEqual(0, self.loan.room(2001))

    def test_another_lender_is_asked_only_after_a_pause(self):
        self.loan.set_lender('', 100)
        self.assertFalse(self.loan.set_lender('s2', 1000))
        self.assertTrue(self.loan.set_lender('s2', 1700))

    def test_answer_is_not_awaited_for_long(self):
        self.ask(0)
        self.assertTrue(self.loan.is_awaiting_answer(100))
        self.assertFalse(self.loan.is_awaiting_answer(300))

    def test_without_a_lender_few_gateways_use_equal_parts(self):
        for gateways, room in ((4, 1), (100, 0)):
            with self.subTest(gateways=gateways):
                loan = rate_limits.Loan()
                for at_ms in range(0, 5000, 50):
                    loan.fill_own_bucket(1.0, gateways, at_ms)
                self.assertEqual(room, loan.room(5000))


class BoundTest(unittest.TestCase):
    """Many gateways that ask two lenders in random order.

    Guards against loans that exceed the bound together: one and a half times
    the rate, plus five requests, in any four seconds.
    """

    def test_requests_sent_never_exceed_the_bound(self):
        for seed in range(30):
            with self.subTest(seed=seed):
                self.simulate(random.Random(seed))

    def simulate(self, rng):
        rate_per_s = rng.choice((0.0, 0.3, 1.0, 2.5, 7.0, 40.0))
        lenders = [rate_limits.Lender(), rate_limits.Lender()]
        loans = [rate_limits.Loan() for _ in range(rng.choice((3, 30)))]
        lender = 0
        sent = []
        for at_ms in range(0, 20_000, 20):
            if rng.random() < 0.001:
                lender = 1 - lender
                lenders[lender] = rate_limits.Lender()
            for loan in loans:
                if loan.lender != str(lender):
                    loan.set_lender('', at_ms)
                    loan.set_lender(str(lender), at_ms)
                if rng.random() < 0.1:
                    self.ask(loan, lenders[lender], rate_per_s, at_ms)
                if loan.room(at_ms) and rng.random() < 0.3:
                    loan.spend(at_ms)
                    sent.append(at_ms)
            sent = [sent_ms for sent_ms in sent if sent_ms > at_ms - 4000]
            self.assertLessEqual(len(sent), 6 * rate_per_s + 5)

    def ask(self, loan, lender, rate_per_s, at_ms):
        for _ in range(3):
            loan.record_miss(at_ms)
        if loan.should_ask(at_ms):
            wanted = loan.begin_asking(rate_per_s, at_ms)
            name = str(id(loan))
            lent = lender.lend(name, ENDPOINT, rate_per_s, wanted, at_ms)
            loan.take_answer(lent.count, lent.wait_ms, at_ms)
