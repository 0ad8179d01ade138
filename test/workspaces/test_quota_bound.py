"""Property test: a shared quota holds in every window, whatever fails.

Guards against use beyond the quota: a full burst in each of many new
processes, a share that two gateways both use, and spending by gateways that
are cut off while the others take over their share.
"""

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tools import quota_model

GATEWAYS = 21
gateways = strategies.integers(0, GATEWAYS - 1)
groups = strategies.sets(gateways, min_size=1, max_size=GATEWAYS)
rates = strategies.sampled_from((4200, 20_000, 65_000, 200_000))
bursts = strategies.sampled_from((1, 0, 0.25, 2))
durations = strategies.sampled_from((100, 300, 1000, 4000))
costs = strategies.sampled_from((200, 1600, 2400, 9000))


class QuotaMachine(stateful.RuleBasedStateMachine):
    """Callers exceed the quota while processes and connections fail."""

    @stateful.initialize(
        rate=rates, burst=bursts, seed=strategies.integers(0, 1000)
    )
    def begin(self, rate, burst, seed):
        quota = quota_model.quota(rate, rate * burst)
        self.fleet = quota_model.Fleet(GATEWAYS, quota, seed=seed)
        self.fleet.advance(3000)

    def flood(self, numbers, cost, duration_ms):
        """Send six times the quota's rate to some gateways."""
        step_ms = quota_model.STEP_MS
        wanted = 6 * self.fleet.quota.rate_per_s * step_ms / 1000
        owed = 0.0
        ordered = sorted(numbers)
        for step in range(duration_ms // step_ms):
            owed += wanted
            while owed >= cost:
                owed -= cost
                self.fleet.ask(ordered[step % len(ordered)], cost)
                step += 1
            self.fleet.advance(step_ms)
            if step % 10 == 0:
                self.check()

    @stateful.rule(numbers=groups, cost=costs, duration_ms=durations)
    def ask(self, numbers, cost, duration_ms):
        self.flood(numbers, cost, duration_ms)

    @stateful.rule(duration_ms=durations)
    def rest(self, duration_ms):
        self.fleet.advance(duration_ms)

    @stateful.rule(
        numbers=groups,
        cost=costs,
        times=strategies.integers(1, 4),
        duration_ms=durations,
    )
    def kill(self, numbers, cost, times, duration_ms):
        """Kill and restart gateways repeatedly under load."""
        for _ in range(times):
            for number in numbers:
                self.fleet.restart(number)
            self.flood(numbers, cost, duration_ms)

    @stateful.rule(
        number=strategies.integers(0, 1), cost=costs, duration_ms=durations
    )
    def kill_book(self, number, cost, duration_ms):
        self.fleet.restart_book(number)
        self.flood(range(GATEWAYS), cost, duration_ms)

    @stateful.rule(
        numbers=groups,
        books=strategies.sets(strategies.integers(0, 1), min_size=1),
        cost=costs,
        duration_ms=durations,
    )
    def cut(self, numbers, books, cost, duration_ms):
        """Cut some gateways off from one or both books under load."""
        cut = {(n, book) for n in numbers for book in books}
        self.fleet.cut |= cut
        self.flood(range(GATEWAYS), cost, duration_ms)
        self.flood(numbers, cost, duration_ms)
        self.fleet.cut -= cut

    @stateful.rule(
        numbers=groups, frozen=groups, cost=costs, duration_ms=durations
    )
    def freeze(self, numbers, frozen, cost, duration_ms):
        for number in frozen:
            self.fleet.gateways[number].frozen = True
        self.flood(numbers, cost, duration_ms)
        for number in frozen:
            self.fleet.gateways[number].frozen = False
        self.flood(numbers, cost, duration_ms)

    @stateful.rule(delay_ms=strategies.sampled_from((0, 5, 50, 200)))
    def slow(self, delay_ms):
        self.fleet.delay_ms = delay_ms

    @stateful.rule(rate=rates, burst=bursts, cost=costs)
    def limit(self, rate, burst, cost):
        self.fleet.limit(quota_model.quota(rate, rate * burst))
        self.flood(range(GATEWAYS), cost, 2000)

    @stateful.invariant()
    def check(self):
        if hasattr(self, 'fleet'):
            excess = self.fleet.over()
            assert excess <= 0, f'quota exceeded by {excess}'


QuotaBoundTest = QuotaMachine.TestCase
QuotaBoundTest.settings = hypothesis.settings(
    max_examples=25,
    stateful_step_count=12,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)

if __name__ == '__main__':
    unittest.main()
