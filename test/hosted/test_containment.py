"""Exceptions in the handling of one request fail that request alone."""

import collections
import copy
import pathlib
import random
import sys
import unittest

import berylhollow
from berylhollow import errors
from berylhollow.gateway import _containment
from test.hosted import admitted_crowd
from test.hosted import crowd
from test.hosted import stream_fleet
from test.hosted import test_admissions_joint

PACKAGE = str(pathlib.Path(berylhollow.__file__).parent)
GUARD = str(pathlib.Path(_containment.__file__))
MARKED_EACH = 4
MOST_LINES = 1500
"""A request of a crowd is handled within about so many lines."""


class InjectedError(Exception):
    """Raised in the middle of the handling of a request."""


class Injector:
    """Raises once for each marked request, after a number of its lines.

    Lines count from its arrival on, over all events that it is handled in.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.lines_left = {}
        self.raised = set()
        self.request_id = None
        self.guard = None

    def mark(self, request_id):
        self.lines_left[request_id] = self.random.randrange(MOST_LINES)

    def run(self, call, *arguments):
        """Call with the lines of guarded handlers traced."""
        # Python stops tracing when a trace function raises.
        self.request_id = self.guard = None
        outer = sys.gettrace()
        sys.settrace(self._trace)
        try:
            return call(*arguments)
        finally:
            sys.settrace(outer)

    def _trace(self, frame, kind, argument):
        code = frame.f_code
        if code.co_filename == GUARD:
            return self._trace_guard(frame, code.co_name)
        if self.request_id is None or not code.co_filename.startswith(PACKAGE):
            return None
        return self._trace_line if self._is_handler(frame) else None

    def _is_handler(self, frame):
        """Tell whether a frame is not one of the guard's own calls."""
        while frame.f_code.co_filename != GUARD:
            frame = frame.f_back
        return frame is self.guard

    def _trace_guard(self, frame, name):
        if self.guard is not None:
            return None
        local = frame.f_locals
        if name == 'handle_event':
            arguments = local['state'], local['event']
            request_id = _containment._request_id(*arguments)
        elif name == 'handle_request':
            request_id = local['active'].request.request_id
        else:
            return None
        if request_id not in self.lines_left or request_id in self.raised:
            return None
        self.request_id, self.guard = request_id, frame
        return self._trace_return

    def _trace_return(self, frame, kind, argument):
        if kind in ('return', 'exception'):
            self.request_id = self.guard = None
        return self._trace_return

    def _trace_line(self, frame, kind, argument):
        if kind != 'line' or self.request_id is None:
            return self._trace_line
        self.lines_left[self.request_id] -= 1
        if self.lines_left[self.request_id] < 0:
            self.raised.add(self.request_id)
            self.request_id = None
            raise InjectedError
        return self._trace_line


class FaultyCrowd(admitted_crowd.AdmittedCrowd):
    """A crowd in which the handling of some requests raises."""

    def __init__(self, load):
        self.injector = Injector(load.seed)
        super().__init__(load)

    def feed_gateway(self, name, event):
        request = getattr(event, 'request', None)
        if request is not None and len(self.arrived) % MARKED_EACH == 0:
            self.injector.mark(request.request_id)
        self.injector.run(super().feed_gateway, name, event)


class FaultyStreams(stream_fleet.StreamFleet):
    """Streams that are taken up again, in some of whose tries it raises."""

    def __init__(self, seed, **options):
        self.injector = Injector(seed)
        super().__init__(**options)

    def feed(self, name, event):
        request = getattr(event, 'request', None)
        if request is not None and self.sent % MARKED_EACH == 0:
            self.injector.mark(request.request_id)
        self.injector.run(super().feed, name, event)


class InjectionTest(unittest.TestCase):
    def test_exception_fails_its_request_and_leaves_nothing_booked(self):
        """Guards against a request that ends a gateway, or a place it keeps.

        The handling of each fourth request raises at some line.
        """
        kinds = collections.Counter()
        raised = 0
        for seed in range(3):
            with self.subTest(seed=seed):
                adapters = (1, 5)[seed % 2] * crowd.SLOTS
                played = FaultyCrowd(
                    test_admissions_joint.load(seed, adapters)
                )
                played.at(4500, played.restart_sidecar, 1)
                played.run()
                test_admissions_joint.JointTest.assert_settled(self, played)
                failed = played.injector.raised
                raised += len(failed)
                for request_id in played.arrived.keys() - failed:
                    (answer,) = played.answers[request_id]
                    kinds[answer.ran] += 1
        self.assertGreater(raised, 100)
        self.assertGreater(kinds[errors.Ran.RAN], 400)

    def test_streams_are_taken_up_again_beside_exceptions(self):
        """Guards against streams of others that an exception ends."""
        raised = 0
        for seed in range(3):
            fleet = FaultyStreams(seed, gateways=3, max_tries=5)
            fleet.run_until(3000)
            fleet.begin_streams(60)
            fleet.run_until(3600)
            fleet.reset_channels('g1', 0.7)
            fleet.run_until(20_000)
            raised += len(fleet.injector.raised)
            self.assertEqual([], fleet.mixed)
            complete = [x for x in fleet.streams if x.complete]
            self.assertGreaterEqual(len(complete), 0.9 * len(fleet.streams))
            for state in fleet.gateways.values():
                self.assertEqual({}, state.requests)
        self.assertGreater(raised, 20)


class RecountedCrowd(admitted_crowd.AdmittedCrowd):
    """Compares the counts of gateways with those made anew."""

    differences = ()

    def feed_gateway(self, name, event):
        super().feed_gateway(name, event)
        if self.chance.random() < 0.02 and name in self.gateways:
            state = self.gateways[name]
            before = counts(state)
            _containment.recount(state)
            if before != counts(state):
                self.differences = (before, counts(state))


class RecountTest(unittest.TestCase):
    def test_counts_made_anew_are_those_that_were_kept(self):
        """Guards against a recount that gives places away or keeps them."""
        for seed in range(3):
            with self.subTest(seed=seed):
                load = test_admissions_joint.load(seed, 3 * crowd.SLOTS)
                played = RecountedCrowd(load)
                played.at(3000, played.freeze_sidecar, 0, 1000)
                played.at(4500, played.restart_sidecar, 1)
                played.at(6000, played.restart_endpoint, 0, bool(seed % 2))
                played.at(7500, played.kill_gateway)
                played.run()
                self.assertEqual((), played.differences)


def counts(state):
    """Return a copy of all that is counted over requests in flight."""
    endpoints = {
        name: (set(x.attempts_in_flight), x.waiting_tokens)
        for name, x in state.endpoints.items()
    }
    return copy.deepcopy(
        (
            {name: x.in_flight for name, x in state.callers.items()},
            state.adapter_in_flight,
            state.attempts,
            endpoints,
            state.awaiting_adapter,
        )
    )
