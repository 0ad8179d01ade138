"""Endpoints that name a rate limit in their answers."""

import dataclasses
import itertools
import unittest

from test.hosted import limited_crowd

INCIDENT = limited_crowd.LimitedLoad(
    seed=1, duration_ms=15_000, endpoints=5, gateways=4, requests_per_s=20.0
)
MANY = dataclasses.replace(
    INCIDENT,
    duration_ms=12_000,
    gateways=21,
    endpoints=10,
    limited=2,
    requests_per_s=40.0,
    burst_ms=2500,
    burst=60,
)


def crowd_of(load, **changes):
    return limited_crowd.LimitedCrowd(dataclasses.replace(load, **changes))


class RateLimitTest(unittest.TestCase):
    """An endpoint that names a limit is sent more than it takes.

    Guards against a limit that is not read, is kept by each gateway for
    itself, or is not asked for again where a request waited.
    """

    def test_limit_holds_over_all_gateways(self):
        for rate_per_s in (0.25, 1.0, 2.5):
            with self.subTest(rate_per_s=rate_per_s):
                played = crowd_of(INCIDENT, rate_per_s=rate_per_s)
                played.run()
                self.assertLessEqual(played.most_over, 0)

    def test_limit_holds_in_bursts_at_many_gateways(self):
        for rate_per_s in (0.5, 3.0):
            with self.subTest(rate_per_s=rate_per_s):
                played = crowd_of(MANY, rate_per_s=rate_per_s)
                played.run()
                self.assertLessEqual(played.most_over, 0)

    def test_limit_holds_while_processes_fail(self):
        """Processes are replaced and links fail while the limit counts."""
        played = crowd_of(INCIDENT, duration_ms=20_000)
        peers = list(played.sidecars)
        for number, name in enumerate(played.gateways):
            played.at(6000 + 900 * number, played.restart_gateway, name)
        for number, peer in enumerate(peers):
            played.at(10_000 + 700 * number, played.restart_sidecar, peer)
        one_side = itertools.product(list(played.gateways)[:2], peers[:3])
        played.at(14_000, played.cut_links, list(one_side))
        played.at(17_000, played.heal_links)
        played.run()
        self.assertLessEqual(played.most_over, 0)
