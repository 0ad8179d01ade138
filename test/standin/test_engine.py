"""Tests of the stand-in engine model."""

import unittest

from berylhollow import endpoint
from berylhollow.standin import engine
from berylhollow.standin import engine_types
from berylhollow.standin import failures
from berylhollow.standin import faults
from test import standin_helper

A = standin_helper.adapter('a@1')
B = standin_helper.adapter('b@1')
LIMITS = engine_types.EngineLimits(
    slot_count=2,
    batch_limit=2,
    step_ms=10,
    request_ms=0,
    adapter_ms=0,
    prefill_ms=1,
    prefill_chunk=100,
    cache_tokens=50,
    status_lag_ms=100,
    event_lag_ms=100,
    event_gap_every=2,
    restart_ms=1000,
)


def order(model, slot=0, adapter=A, fence=1, name='o'):
    return endpoint.SlotOrder(name, slot, fence, model.epoch, adapter)


def request(name, adapter=A, **options):
    options.setdefault('prompt_tokens', 0)
    options.setdefault('output_tokens', 1)
    return engine_types.EngineRequest(name, adapter, **options)


def make_engine(*adapters):
    model = engine.EngineModel('e', LIMITS)
    for slot, adapter in enumerate(adapters):
        model.begin_load(order(model, slot, adapter, name=str(slot)), 0)
        model.finish_load(str(slot), True, 0)
    return model


def ended(outputs):
    return [
        (output.ticket, output.at_ms)
        for output in outputs
        if isinstance(output, engine_types.Finished)
    ]


class OrderTest(unittest.TestCase):
    def test_adapter_serves_only_when_loaded(self):
        model = engine.EngineModel('e', LIMITS)
        model.begin_load(order(model), 0)
        with self.assertRaises(failures.AdapterNotLoaded):
            model.submit(request('r'), 1)
        self.assertTrue(model.finish_load('o', True, 2))
        model.submit(request('r'), 3)
        self.assertEqual(ended(model.advance(100)), [(1, 13)])

    def test_failed_load_leaves_the_slot_empty(self):
        model = engine.EngineModel('e', LIMITS)
        model.begin_load(order(model), 0)
        self.assertFalse(model.finish_load('o', False, 1))
        self.assertEqual(model.current_status().slots[0], endpoint.Slot(0))

    def test_later_order_takes_the_slot(self):
        model = engine.EngineModel('e', LIMITS)
        model.begin_load(order(model, adapter=A, name='old'), 0)
        model.begin_load(order(model, adapter=B, name='new'), 1)
        self.assertFalse(model.finish_load('old', True, 2))
        self.assertTrue(model.finish_load('new', True, 3))

    def test_old_fence_and_epoch_are_refused(self):
        model = make_engine(A)
        model.unload(order(model, fence=5), 0)
        with self.assertRaises(failures.StaleFence):
            model.begin_load(order(model, fence=4), 0)
        before = order(model, fence=9)
        model.crash(0, down_ms=0)
        with self.assertRaises(failures.WrongEpoch):
            model.begin_load(before, 1)

    def test_load_over_a_running_request_shows_in_its_record(self):
        """A sidecar replaces an adapter that a running request uses.

        The caller's response switches to another adapter half-way. The
        model must allow this and its record of runs must show it.
        """
        model = make_engine(A)
        model.submit(request('r', output_tokens=3), 0)
        model.advance(10)
        model.begin_load(order(model, adapter=B), 15)
        tokens = model.advance(100)
        self.assertEqual([x.adapter for x in tokens[:2]], [B, B])
        self.assertEqual(model.runs()[0].ran, (A, B))
        self.assertTrue(model.runs()[0].wrong_adapter)


class BatchTest(unittest.TestCase):
    def test_batch_limit_and_priority_decide_who_waits(self):
        model = make_engine(A)
        for name in ('first', 'second'):
            model.submit(request(name, output_tokens=2), 0)
        model.submit(request('low'), 1)
        model.submit(request('high', priority=1), 2)
        self.assertEqual(
            ended(model.advance(1000)), [(1, 20), (4, 20), (3, 30), (2, 40)]
        )

    def test_cached_prefix_is_not_read_again(self):
        model = make_engine(A)
        options = {'prompt_tokens': 40, 'prefix': 'p', 'prefix_tokens': 30}
        model.submit(request('cold', **options), 0)
        self.assertEqual(ended(model.advance(1000)), [(1, 50)])
        model.submit(request('warm', **options), 1000)
        self.assertEqual(ended(model.advance(2000)), [(2, 1020)])

    def test_long_prompt_is_read_in_chunks(self):
        model = make_engine(A)
        model.submit(request('r', prompt_tokens=150), 0)
        self.assertEqual(ended(model.advance(1000)), [(1, 110 + 60)])

    def test_cancel_finds_waiting_and_running(self):
        model = make_engine(A)
        for name in ('r', 's', 't'):
            model.submit(request(name, output_tokens=9), 0)
        model.advance(10)
        self.assertTrue(model.cancel('s', 11))
        self.assertTrue(model.cancel('t', 12))
        self.assertFalse(model.cancel('t', 13))
        self.assertEqual(
            [(run.request, run.outcome) for run in model.runs()],
            [('s', 'cancelled'), ('r', 'running')],
        )

    def test_abandon_drops_one_of_two_with_the_same_id(self):
        model = make_engine(A)
        first = model.submit(request('r'), 0)
        second = model.submit(request('r'), 0)
        model.abandon(first, 1)
        self.assertEqual(ended(model.advance(100)), [(second, 20)])


class FailureTest(unittest.TestCase):
    def test_marked_request_crashes_all_that_run_with_it(self):
        """One request crashes each engine that runs it.

        The other requests, running and waiting, break with it. The engine
        is down for its restart time and comes back with empty slots.
        """
        model = make_engine(A)
        epoch = model.epoch
        model.submit(request('near', output_tokens=5), 0)
        model.submit(request('marked', crashes_engine=True), 0)
        model.submit(request('waiting'), 0)
        broken = [
            output.ticket
            for output in model.advance(20)
            if isinstance(output, engine_types.Broken)
        ]
        self.assertEqual(broken, [1, 2, 3])
        self.assertEqual(
            [run.request for run in model.runs()], ['near', 'marked']
        )
        with self.assertRaises(failures.Unavailable):
            model.status(1019)
        self.assertNotEqual(model.status(1020).epoch, epoch)
        with self.assertRaises(failures.AdapterNotLoaded):
            model.submit(request('again'), 1020)

    def test_hang_and_slow_stretch_steps(self):
        model = make_engine(A)
        model.faults.start(faults.EngineFault.HANG, 0, 500)
        model.submit(request('hung'), 1)
        self.assertEqual(ended(model.advance(1000)), [(1, 510)])
        model.faults.start(faults.EngineFault.SLOW, 1000, 10)
        model.submit(request('slow'), 1000)
        self.assertEqual(ended(model.advance(2000)), [(2, 1040)])


class ReportTest(unittest.TestCase):
    def test_status_lags_and_can_go_stale(self):
        model = make_engine(A)
        model.submit(request('r', output_tokens=5), 1000)
        self.assertEqual(model.status(1099).running, 0)
        self.assertEqual(model.status(1100).running, 1)
        model.faults.start(faults.EngineFault.STATUS_STALE, 1101, 1000)
        model.advance(1500)
        self.assertEqual(model.status(2000).running, 1)
        self.assertEqual(model.status(2101).running, 0)

    def test_cache_events_come_late_and_with_gaps(self):
        model = make_engine(A)
        for number in range(3):
            prefix = {'prefix': str(number), 'prefix_tokens': 25}
            model.submit(request('r', prompt_tokens=30, **prefix), 0)
            model.advance(100 * (number + 1))
        self.assertEqual(model.events(0, 99), ())
        seen = model.events(0, 1000)
        self.assertEqual([event.sequence for event in seen], [1, 3])
        self.assertEqual(seen[1].change, endpoint.CacheChange.EVICTED)
        self.assertEqual(model.events(1, 1000), seen[1:])
