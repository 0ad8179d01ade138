"""Tests of endpoints that name a rate limit in their answers."""

import dataclasses
import itertools
import unittest

from test.hosted import limited_crowd

LOAD = limited_crowd.LimitedLoad(
    seed=1, duration_ms=15_000, endpoints=5, gateways=4, requests_per_s=20.0
)
MANY_GATEWAYS = dataclasses.replace(
    LOAD,
    duration_ms=12_000,
    gateways=21,
    endpoints=10,
    limited=2,
    requests_per_s=40.0,
    burst_ms=2500,
    burst=60,
)


def limited_crowd_of(load, **changes):
    return limited_crowd.LimitedCrowd(dataclasses.replace(load, **changes))


class RateLimitTest(unittest.TestCase):
    """Guards against endpoints that are sent more than their rate limit.

    Possible causes: the limit is not read, each gateway applies it for itself
    alone, or a loan is not asked for again where a request waited.
    """

    def test_limit_holds_over_all_gateways(self):
        for rate_per_s in (0.25, 1.0, 2.5):
            with self.subTest(rate_per_s=rate_per_s):
                simulation = limited_crowd_of(LOAD, rate_per_s=rate_per_s)
                simulation.run()
                self.assertLessEqual(simulation.worst_excess, 0)

    def test_limit_holds_in_bursts_at_many_gateways(self):
        for rate_per_s in (0.5, 3.0):
            with self.subTest(rate_per_s=rate_per_s):
                simulation = limited_crowd_of(
                    MANY_GATEWAYS, rate_per_s=rate_per_s
                )
                simulation.run()
                self.assertLessEqual(simulation.worst_excess, 0)

    def test_limit_holds_while_processes_fail(self):
        """Processes restart and links break while the limit is in force."""
        simulation = limited_crowd_of(LOAD, duration_ms=20_000)
        peers = list(simulation.sidecars)
        for number, name in enumerate(simulation.gateways):
            simulation.at(
                6000 + 900 * number, simulation.restart_gateway, name
            )
        for number, peer in enumerate(peers):
            simulation.at(
                10_000 + 700 * number, simulation.restart_sidecar, peer
            )
        pairs = itertools.product(list(simulation.gateways)[:2], peers[:3])
        simulation.at(14_000, simulation.cut_links, list(pairs))
        simulation.at(17_000, simulation.heal_links)
        simulation.run()
        self.assertLessEqual(simulation.worst_excess, 0)
