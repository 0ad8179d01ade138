"""Incremental sums of the demand of all gateways."""

import random
import unittest

from berylhollow.loader import _demand
from berylhollow import messages
from test.loader import loader_helper

ADAPTERS = ('a1', 'a2', 'a3')
GATEWAYS = ('g1', 'g2', 'g3', 'g4')


def demands(rng):
    entries = tuple(
        loader_helper.demand(
            name,
            rng.randrange(3),
            rng.randrange(3),
            rng.random(),
            str(rng.randrange(1, 4)),
            queued=rng.randrange(3),
            overdue=rng.randrange(3),
            urgency=rng.randrange(9),
        )
        for name in ADAPTERS
        if rng.random() < 0.5
    )
    return messages.AdapterDemands(
        loader_helper.ENDPOINT,
        's',
        rng.randrange(1, 4),
        (loader_helper.MODEL,),
        entries,
        hold_model=rng.random() < 0.5,
        waiting_tokens=rng.randrange(5000),
    )


def sum_demands(by_gateway):
    """Return the sums recomputed from the last demand of each gateway."""
    sums = {}
    for one in by_gateway.values():
        for entry in one.demands.entries:
            name = entry.adapter.adapter
            waiting, in_flight, rate, queued, overdue, urgency = sums.get(
                name, (0, 0, 0.0, 0, 0, 0)
            )
            sums[name] = (
                waiting + entry.waiting,
                in_flight + entry.in_flight,
                rate + entry.rate,
                queued + entry.queued,
                overdue + entry.overdue,
                urgency + entry.urgency,
            )
    return sums


class DemandTest(unittest.TestCase):
    def check(self, demand):
        expected = sum_demands(demand.by_gateway)
        self.assertEqual(set(expected), set(demand.needs))
        for name, need in demand.needs.items():
            waiting, in_flight, rate, queued, overdue, urgency = expected[name]
            self.assertEqual(
                (waiting, in_flight), (need.waiting, need.in_flight)
            )
            self.assertEqual((queued, overdue), (need.queued, need.overdue))
            self.assertEqual(urgency, need.urgency)
            self.assertAlmostEqual(rate, need.rate)
        last = [one.demands for one in demand.by_gateway.values()]
        tokens = sum(one.waiting_tokens for one in last)
        self.assertEqual(tokens, demand.waiting_tokens)
        self.assertEqual(
            min((one.slots for one in last), default=0), demand.slots
        )
        self.assertEqual(
            all(one.hold_model for one in last), demand.is_model_held_back
        )

    def test_sums_equal_the_recomputed_ones(self):
        """A sum that drifts keeps an adapter that no request uses.

        Or, worse, evicts one that a request in flight needs.
        """
        for seed in range(20):
            rng = random.Random(seed)
            demand = _demand.Demand()
            for at_ms in range(0, 2000, 10):
                gateway = rng.choice(GATEWAYS)
                demand.update(gateway, demands(rng), at_ms)
                if rng.random() < 0.2:
                    demand.expire_before(at_ms - 50)
                self.check(demand)

    def test_newest_version_stays_when_its_gateway_expires(self):
        demand = _demand.Demand()
        for gateway, version, at_ms in (('g1', '2', 0), ('g2', '1', 100)):
            entry = loader_helper.demand('a1', version=version)
            message = messages.AdapterDemands('i-1', 's', 2, ('m',), (entry,))
            demand.update(gateway, message, at_ms)
        demand.expire_before(50)
        self.assertEqual('2', demand.needs['m/a1'].adapter.version)

    def test_nothing_is_kept_of_expired_gateways(self):
        demand = _demand.Demand()
        rng = random.Random(1)
        for gateway in GATEWAYS:
            demand.update(gateway, demands(rng), 0)
        demand.expire_before(0)
        self.assertEqual({}, demand.needs)
        self.assertEqual(0, demand.waiting_tokens)
