"""Replacing everything, with requests in flight, in the virtual world."""

import collections
import unittest

from berylhollow import errors
from berylhollow import gateway
from berylhollow import replay
from berylhollow.replay import _answers
from berylhollow import sidecar
from test import builders
from test.replay import worlds

DOMAINS = {
    'sul-a': ('g1', 'e1', 'p1'),
    'sul-b': ('g2', 'e2', 'p2'),
    'sul-c': ('g3', 'e3', 'p3'),
}
GATEWAYS = ('g1', 'g2', 'g3')
SIDECARS = ('e1', 'e2', 'e3', 'p1', 'p2', 'p3')
EVERY_MS = 40
LEAVING_MS = 2000
GOOD = (replay.Ending.WHOLE, replay.Ending.STORED)
NOT_RUN = errors.Ran.NOT_RUN


class ReplacementTestCase(unittest.TestCase):
    """Three failure domains with a gateway, an engine and a service each.

    Four kinds of requests come all the time: short and long, with a key and
    without.
    """

    def setUp(self):
        self.world = replay.World(lean=False, intercept=self.intercept)
        self.frozen = False
        self.sent = 0
        for domain, (gateway_name, engine, service) in DOMAINS.items():
            self.world.add_engine(engine)
            self.add_sidecar(engine, builders.SERVICE, domain)
            self.world.add_service(service)
            self.add_sidecar(
                service, builders.PLAIN_SERVICE, domain, plain=True
            )
            self.world.add_gateway(
                gateway_name,
                gateway.reduce,
                worlds.gateway_maker(gateway_name, failure_domain=domain),
                domain,
            )
        self.run_for(worlds.SETTLED_MS, traffic=False)

    def add_sidecar(self, name, service, domain, **options):
        maker = worlds.sidecar_maker(
            name, service=service, failure_domain=domain, **options
        )
        self.world.add_sidecar(name, service, sidecar.reduce, maker, domain)

    def intercept(self, world, action):
        listed = action.point is replay.Point.LISTED
        return () if self.frozen and listed else None

    def run_for(self, for_ms, traffic=True):
        """Let time pass, with requests to the gateways that take some."""
        until_ms = self.world.now_ms + for_ms
        while self.world.now_ms < until_ms:
            if traffic:
                self.send()
            self.world.run_until(self.world.now_ms + EVERY_MS)

    def send(self):
        number = self.sent
        self.sent += 1
        taking = [name for name in GATEWAYS if self.takes(name)]
        if not taking:
            return
        name = taking[number % len(taking)]
        make = (
            worlds.model_request,
            worlds.plain_request,
            lambda n: worlds.model_request(n, output_tokens=60),
            lambda n: worlds.plain_request(n, key=None),
        )
        self.world.request(name, make[number % len(make)](number))

    def takes(self, name):
        """Tell whether the balancer sends callers to a gateway."""
        process = self.world.listener(name)
        return process.alive and not process.stopping

    def restart(self, *names, stopped=False):
        """Stop or kill processes at once; start them when all are gone."""
        for name in names:
            (self.world.stop if stopped else self.world.kill)(name)
        while any(self.world.listener(name).alive for name in names):
            self.run_for(EVERY_MS)
        for name in names:
            self.world.start(name)

    def facts(self, kind):
        return [x for x in self.world.record.facts if type(x) is kind]

    def finish(self):
        """Let all end; check what callers got against what ran."""
        self.run_for(3000)
        self.run_for(35_000, traffic=False)
        runs = collections.Counter(
            fact.request_id for fact in self.facts(replay.RunBegan)
        )
        self.assertGreater(self.sent, 50)
        for request_id, exchange in self.world.record.exchanges.items():
            with self.subTest(request_id, kind=exchange.kind):
                self.assertEqual(1, exchange.answers)
                if exchange.ending in GOOD:
                    whole = _answers.whole(exchange.request)
                    self.assertEqual(whole, bytes(exchange.body))
                if exchange.ran is NOT_RUN:
                    self.assertEqual(0, runs[request_id])
                if exchange.request.key is not None:
                    self.assertLessEqual(runs[request_id], 1)

    def failed(self, since_ms=0):
        """Return how the requests sent since then failed."""
        return [
            (exchange.request.request_id, exchange.ending, exchange.kind)
            for exchange in self.world.record.exchanges.values()
            if exchange.ending not in (*GOOD, None)
            and exchange.sent_ms >= since_ms
        ]

    def assert_nothing_was_cut_off(self):
        self.assertEqual([], self.failed())
        for fact in self.facts(replay.ProcessEnded):
            self.assertEqual(0, fact.code, fact)
            self.assertEqual(((), ()), (fact.waiting, fact.running))

    def assert_well(self, after_ms):
        """Check that everything is answered again after a while."""
        self.run_for(after_ms)
        since_ms = self.world.now_ms
        self.run_for(4000)
        self.finish()
        self.assertEqual([], self.failed(since_ms))


class PlannedTest(ReplacementTestCase):
    def test_rolling_replacement_of_gateways(self):
        """An upgrade of the gateways costs some callers their answers."""
        for name in GATEWAYS:
            self.restart(name, stopped=True)
            self.run_for(3000)
        self.finish()
        self.assert_nothing_was_cut_off()

    def test_rolling_replacement_of_sidecars(self):
        """An upgrade of the sidecars costs some callers their answers."""
        for name in SIDECARS:
            self.run_for(1000)
            self.restart(name, stopped=True)
            self.run_for(3000)
        self.finish()
        self.assert_nothing_was_cut_off()

    def test_all_gateways_stop_at_once(self):
        self.run_for(2000)
        self.restart(*GATEWAYS, stopped=True)
        self.run_for(3000)
        self.finish()
        self.assert_nothing_was_cut_off()

    def test_leaving_endpoint_gets_no_work_with_a_frozen_list(self):
        """Requests go on to an endpoint whose instance is being taken away.

        The platform stops an endpoint and its instance list no longer
        changes for anybody. Cause: trust in the list alone.
        """
        self.run_for(2000)
        self.frozen = True
        stopped_ms = self.world.now_ms
        for name in ('e1', 'p1'):
            self.world.leave(name)
        self.run_for(6000)
        for fact in self.facts(replay.RunBegan):
            if fact.endpoint in ('e1', 'p1'):
                self.assertLess(fact.at_ms, stopped_ms + LEAVING_MS)
        self.finish()
        self.assert_nothing_was_cut_off()


class UnplannedTest(ReplacementTestCase):
    def test_all_gateways_die_at_once(self):
        self.run_for(2000)
        self.restart(*GATEWAYS)
        self.assert_well(2000)

    def test_all_sidecars_die_at_once(self):
        self.run_for(2000)
        self.restart(*SIDECARS)
        self.assert_well(5000)

    def test_everything_dies_at_once(self):
        self.run_for(2000)
        self.restart(*GATEWAYS, *SIDECARS)
        self.assert_well(5000)

    def test_rack_is_lost_and_comes_back(self):
        """A rack with a gateway, an engine and a service loses power.

        What ran there fails; all else goes on, and after its return the
        rack works like the others.
        """
        self.run_for(2000)
        rack = DOMAINS['sul-a']
        for name in rack:
            self.world.kill(name)
        self.world.endpoints['e1'].crash()
        self.run_for(5000)
        since_ms = self.world.now_ms
        self.run_for(20_000)
        self.assertEqual([], self.failed(since_ms))
        for name in rack:
            self.world.start(name)
        self.run_for(15_000)
        for name in ('e2', 'e3', 'p2', 'p3'):
            self.world.leave(name)
        self.assert_well(3000)
        ran = {fact.endpoint for fact in self.facts(replay.RunBegan)[-80:]}
        self.assertEqual({'e1', 'p1'}, ran)

    def test_failure_domain_is_cut_off_and_healed(self):
        """A switch takes a failure domain from the others for minutes.

        Each side goes on with what it has, and after the cut everybody
        finds everybody again within seconds.
        """
        self.run_for(2000)
        inside = DOMAINS['sul-a']
        outside = DOMAINS['sul-b'] + DOMAINS['sul-c']
        pairs = [(one, other) for one in inside for other in outside]
        for pair in pairs:
            self.world.network.separate(*pair)
        self.run_for(10_000)
        since_ms = self.world.now_ms
        self.run_for(110_000)
        self.assertEqual([], self.failed(since_ms))
        for pair in pairs:
            self.world.network.reunite(*pair)
        self.assert_well(15_000)
        for name in GATEWAYS:
            links = self.world.listener(name).links
            self.assertLessEqual(set(SIDECARS), set(links))

    def test_endpoint_comes_back_under_another_name(self):
        self.run_for(2000)
        self.world.kill('p1')
        self.world.instances.model.delete('p1', self.world.at_ms)
        self.world.add_service('p9')
        self.add_sidecar('p9', builders.PLAIN_SERVICE, 'sul-a', plain=True)
        self.run_for(8000)
        for name in ('p2', 'p3'):
            self.world.leave(name)
        self.assert_well(1000)
        ran = {fact.endpoint for fact in self.facts(replay.RunBegan)}
        self.assertIn('p9', ran)
        self.assertNotIn('p1', self.world.listener('g1').state.endpoints)
