"""The world: what it carries out, and what faults may do to it."""

import unittest

from berylhollow import replay
from berylhollow.replay import _answers
from test.replay import worlds

Ending = replay.Ending
Point = replay.Point


class Once:
    """Do something at the first action of a step."""

    def __init__(self, step, do):
        self.step = step
        self.do = do
        self.seen = 0

    def __call__(self, world, action):
        if action.step != self.step:
            return None
        self.seen += 1
        return self.do(world, action) if self.seen == 1 else None


class WorldTest(unittest.TestCase):
    def run_request(self, request, step='', do=None, for_ms=20_000):
        self.world = worlds.world()
        self.world.intercept = Once(step, do)
        exchange = self.world.request('g1', request)
        self.world.run_until(self.world.now_ms + for_ms)
        return exchange

    def test_answers_are_whole(self):
        for request in (worlds.model_request(1), worlds.plain_request(2)):
            exchange = self.run_request(request)
            self.assertEqual(Ending.WHOLE, exchange.ending)
            self.assertEqual(_answers.whole(request), bytes(exchange.body))

    def test_the_same_seed_gives_the_same_run(self):
        ends = set()
        for _ in range(2):
            exchange = self.run_request(worlds.model_request(1))
            ends.add((exchange.ended_ms, self.world.actions))
        self.assertEqual(1, len(ends))

    def test_a_dropped_action_does_not_happen(self):
        exchange = self.run_request(
            worlds.model_request(1), 'submit', lambda world, action: ()
        )
        self.assertIsNone(exchange.ending)

    def test_a_delayed_action_happens_later(self):
        prompt = self.run_request(worlds.model_request(1))
        late = self.run_request(
            worlds.model_request(1), 'submit', lambda world, action: (500,)
        )
        self.assertEqual(500, late.ended_ms - prompt.ended_ms)

    def test_a_doubled_action_happens_twice(self):
        self.run_request(
            worlds.plain_request(1), 'submit', lambda world, action: (0, 0)
        )
        began = [
            fact
            for fact in self.world.record.facts
            if type(fact) is replay.RunBegan
        ]
        self.assertEqual(2, len(began))

    def test_a_killed_gateway_disconnects_its_callers(self):
        exchange = self.run_request(
            worlds.model_request(1),
            'deliver Offer',
            lambda world, action: world.kill('g1'),
        )
        self.assertEqual(Ending.DISCONNECTED, exchange.ending)
        self.assertEqual(
            Ending.REFUSED, self.send_again(worlds.model_request(2))
        )

    def send_again(self, request):
        exchange = self.world.request('g1', request)
        self.world.run_until(self.world.now_ms + 100)
        return exchange.ending

    def test_a_paused_process_goes_on_where_it_was(self):
        def pause(world, action):
            process = world.listener('g1')
            process.pause()
            world.schedule(2000, Point.OTHER, '', '', world.resume, process)

        exchange = self.run_request(
            worlds.model_request(1), 'emit Send Offer', pause
        )
        self.assertEqual(Ending.WHOLE, exchange.ending)
        self.assertGreater(exchange.ended_ms - exchange.sent_ms, 2000)

    def test_a_lean_world_ends_requests_at_the_same_time(self):
        full = self.run_request(worlds.model_request(1))
        lean = worlds.world(lean=True)
        exchange = lean.request('g1', worlds.model_request(1))
        lean.run_until(lean.now_ms + 20_000)
        self.assertEqual(full.ended_ms, exchange.ended_ms)
        self.assertEqual([], lean.record.facts)
