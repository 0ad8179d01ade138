"""Tests of quotas shared by gateways: bounds, refusals and totals."""

import contextlib
import unittest

from berylhollow import workspaces
from berylhollow.workspaces import _allowance
from tools import quota_model

GATEWAYS = 21
RATES = (4200, 20_000, 65_000)
MAX_REFUSED_SHARE = 0.05


@contextlib.contextmanager
def replaced(owner, name, value):
    """Replace an attribute within a ``with`` block."""
    before = getattr(owner, name)
    setattr(owner, name, value)
    try:
        yield
    finally:
        setattr(owner, name, before)


def fleet(rate, gateways=GATEWAYS):
    new_fleet = quota_model.Fleet(gateways, quota_model.quota(rate))
    new_fleet.advance(3000)
    return new_fleet


class DemandTest(unittest.TestCase):
    """Demand below the quota is served, wherever the callers connect.

    A quota of two requests a second can be shared by a few gateways only: one
    request at each of 21 gateways at the same time exceeds the bound.
    """

    def check(self, load, rates=RATES):
        for rate in rates:
            with self.subTest(rate=rate):
                outcome = load(fleet(rate))
                self.assertLessEqual(outcome.most_of_bound, 1)
                self.assertLessEqual(
                    outcome.wrongly_refused, MAX_REFUSED_SHARE
                )

    def test_callers_at_all_gateways(self):
        self.check(quota_model.even)

    def test_callers_at_few_gateways(self):
        """The load balancer spreads a few dozen callers unevenly.

        With an equal share of the quota for each gateway, two thirds of the
        requests were refused while the shares of other gateways were unused.
        """
        self.check(quota_model.uneven)

    def test_callers_who_move_to_other_gateways(self):
        self.check(quota_model.moved)

    def test_callers_who_exceed_the_quota_get_all_of_it(self):
        for rate in RATES[1:]:
            with self.subTest(rate=rate):
                outcome = quota_model.flood(
                    fleet(rate), range(GATEWAYS), 2400, 20_000, 5
                )
                self.assertLessEqual(outcome.most_of_bound, 1)
                self.assertGreaterEqual(outcome.served, 0.9 * outcome.owed)


class FailureTest(unittest.TestCase):
    """The bound holds in failures, and only with the guards in place.

    Each check is repeated without the guards that it names and must exceed
    the bound then.
    """

    def most_of_bound(self, load, rate=65_000):
        return load(fleet(rate)).most_of_bound

    def check(self, load, *disabled):
        """Check a load, and that it exceeds the bound without guards."""
        self.assertLessEqual(self.most_of_bound(load), 1)
        with contextlib.ExitStack() as stack:
            for owner, name, value in disabled:
                stack.enter_context(replaced(owner, name, value))
            self.assertGreater(self.most_of_bound(load), 1)

    def test_cut_off_gateways_do_not_keep_their_share(self):
        """Half of the gateways get no updates and go on with the last ones.

        The others take over the share that is no longer reported.
        """
        self.check(
            quota_model.cut,
            (_allowance, 'STALE_MS', 10**9),
            (_allowance, 'EXPECTED_UPDATE_MS', 10**9),
        )

    def test_cut_off_gateways_stop_before_others_take_over(self):
        """Most gateways are cut off as demand jumps, before they know of it.

        Each went on as if the whole rate were its own until its last update
        was stale, and one and a half times the bound was used.
        """
        self.check(
            cut_at_a_demand_jump, (_allowance, 'EXPECTED_UPDATE_MS', 10**9)
        )

    def test_cut_off_gateways_do_not_take_an_equal_share(self):
        self.check(cut_since_the_start, (_allowance, 'NO_BOOK_SHARE', 1.0))

    def test_new_processes_do_not_begin_with_a_full_bucket(self):
        def full_bucket(allowance, _at_ms):
            return allowance.quota.capacity

        self.check(
            killed_repeatedly,
            (workspaces.Allowance, '_initial_level', full_bucket),
        )

    def test_what_was_spent_since_the_last_report_is_deducted(self):
        self.check(
            sudden_flood, (workspaces.Allowance, '_unreported', lambda *_: 0)
        )


def cut_at_a_demand_jump(fleet):
    """Most gateways get no updates while demand is twelve times the rate."""
    outcome = quota_model.flood(fleet, range(GATEWAYS), 2400, 200, 12)
    fleet.cut = {(n, book) for n in range(17) for book in range(2)}
    for numbers in (range(GATEWAYS), range(17)):
        quota_model.flood(fleet, numbers, 2400, 4000, 12, outcome)
    return outcome


def cut_since_the_start(fleet):
    """Most of the gateways have never had an update from a book."""
    fleet.cut = {(n, book) for n in range(15) for book in range(2)}
    fleet.advance(2000)
    for number in range(15):
        fleet.restart(number)
    return quota_model.flood(fleet, range(GATEWAYS), 2400, 20_000, 4)


def sudden_flood(fleet):
    """Demand at all gateways jumps to many times the rate."""
    quota_model.flood(fleet, range(GATEWAYS), 2400, 8000, 1)
    return quota_model.flood(fleet, range(GATEWAYS), 2400, 8000, 30)


def killed_repeatedly(fleet):
    """All gateways are killed every 1.5 seconds at six times the rate."""
    quota_model.flood(fleet, range(GATEWAYS), 2400, 8000, 6)
    outcome = quota_model.Outcome()
    for _ in range(6):
        for number in range(GATEWAYS):
            fleet.restart(number)
        quota_model.flood(fleet, range(GATEWAYS), 2400, 1000, 6, outcome)
    return outcome


class AllowanceTest(unittest.TestCase):
    def setUp(self):
        self.quota = quota_model.quota(1000)
        self.allowance = workspaces.Allowance(self.quota, 0)

    def update(self, spent, own_spent=0, at_ms=0, book='b', asked=0):
        totals = workspaces.UsageTotals('w', spent, asked, own_spent, 0)
        self.allowance.update_totals('s', book, totals, 0.99, at_ms)

    def test_request_that_did_not_run_is_given_back(self):
        self.update(0)
        self.update(0, at_ms=1000)
        self.allowance.spend(1000, 1000)
        self.assertGreater(self.allowance.wait_ms(1000, 1000), 0)
        self.allowance.refund(1000)
        self.assertEqual(0, self.allowance.current_usage('w', 1000).spent)

    def test_wait_is_the_time_until_the_tokens_are_refilled(self):
        self.update(0)
        self.update(500, at_ms=500)
        self.assertAlmostEqual(400, self.allowance.wait_ms(400, 500), delta=5)

    def test_totals_of_different_books_are_not_compared(self):
        """A sidecar restarts, and the totals of its book begin at zero.

        Taken for a refund, the difference would fill the bucket.
        """
        self.update(5000)
        self.update(9000, at_ms=500)
        level = self.allowance.accounts['s'].level
        self.update(0, at_ms=500, book='b2')
        self.assertEqual(level, self.allowance.accounts['s'].level)

    def test_lower_quota_applies_at_once(self):
        self.update(0)
        self.update(0, at_ms=1000)
        self.allowance.set_quota(quota_model.quota(100))
        self.assertEqual(100, self.allowance.accounts['s'].level)

    def test_request_without_a_token_count_costs_plain_tokens(self):
        quota = workspaces.Quota(workspaces.Unit.TOKENS, 100, 100, 7)
        self.assertEqual((7, 9), (quota.cost(0), quota.cost(9)))
        quota = workspaces.Quota(workspaces.Unit.REQUESTS, 100, 100, 7)
        self.assertEqual(1, quota.cost(9))


class BookTest(unittest.TestCase):
    def setUp(self):
        self.book = workspaces.Book()

    def report(self, gateway, spent, incarnation='1', asked=0, at_ms=0):
        use = workspaces.GatewayUsage('w', spent, asked)
        (totals,) = self.book.record_usage(gateway, incarnation, (use,), at_ms)
        return totals

    def test_spending_is_added_up_from_the_first_report_on(self):
        self.report('g1', 1000)
        self.report('g2', 50)
        self.assertEqual(5, self.report('g1', 1005).spent)
        self.assertEqual(15, self.report('g2', 60).spent)

    def test_restarted_gateway_counts_from_zero(self):
        self.report('g1', 0)
        self.report('g1', 700)
        totals = self.report('g1', 0, incarnation='2')
        self.assertEqual(700, totals.spent)
        self.assertEqual(710, self.report('g1', 10, incarnation='2').spent)

    def test_gateway_that_reported_elsewhere_counts_from_its_return(self):
        """A sidecar keeps the book at the start and again much later.

        All that was spent in between was added at once, and no gateway let
        anything through for seconds.
        """
        self.report('g1', 0)
        self.report('g2', 0, at_ms=20_000)
        self.report('g1', 900_000, at_ms=20_000)
        self.assertEqual(0, self.report('g2', 0, at_ms=20_100).spent)
        self.report('g1', 900_500, at_ms=20_200)
        self.assertEqual(500, self.report('g2', 0, at_ms=20_300).spent)

    def test_demand_of_a_silent_gateway_is_forgotten(self):
        self.report('g1', 0, asked=100)
        self.assertEqual(130, self.report('g2', 0, asked=30).asked_per_s)
        totals = self.report('g2', 0, asked=30, at_ms=2000)
        self.assertEqual(30, totals.asked_per_s)
