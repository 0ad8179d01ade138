"""Property-based search for an order of events that breaks a promise.

Two gateways, a model engine and a plain service with their sidecars, and the
log. Where the matrix strikes at every step of known flows, this looks for
flows that nobody thought of.
"""

import heapq

from hypothesis import stateful
from hypothesis import strategies

from berylhollow import replay
from tools.matrix import _faults
from tools.matrix import _fleet
from tools.matrix import _scene

GATEWAYS = strategies.integers(0, 1)
ADAPTERS = strategies.sampled_from(['a1', 'a2', 'a3', 'a4', 'n1'])
KEYS = strategies.sampled_from(['k1', 'k2', 'k3'])
TOKENS = strategies.sampled_from([1, 5, 40])
NAMED = strategies.sampled_from(sorted(_faults.FAULTS))
ENDPOINTS = strategies.sampled_from(['e1', 'p1'])
PAUSES_MS = strategies.sampled_from([1, 3, 10, 50, 200, 1000])
SOON_MS = 20.0
MOST_SOON = 12


class Search(stateful.RuleBasedStateMachine):
    """One world; each rule is a step that the search may choose."""

    events = 0

    def __init__(self):
        super().__init__()
        self.scaling = _fleet.scaled()
        self.scaling.__enter__()
        self.scene = _scene.Scene(engines=('e1',), services=('p1',))

    def teardown(self):
        """Let all faults end, and see whether all is well again."""
        try:
            self.scene.run()
            self.keep_promises()
        finally:
            type(self).events += self.scene.world.actions
            self.scaling.__exit__(None, None, None)

    @stateful.invariant()
    def keep_promises(self):
        assert not self.scene.oracle.violations, self.scene.oracle.violations

    @stateful.rule(adapter=ADAPTERS, gateway=GATEWAYS, tokens=TOKENS)
    def ask_model(self, adapter, gateway, tokens):
        self.scene.model(adapter, gateway, tokens=tokens)

    @stateful.rule(key=KEYS, gateway=GATEWAYS)
    def ask_plain(self, key, gateway):
        self.scene.plain(gateway, key)

    @stateful.rule(key=KEYS, gateway=GATEWAYS)
    def ask_model_once(self, key, gateway):
        self.scene.model('a1', gateway, key=key)

    @stateful.rule(pause_ms=PAUSES_MS)
    def wait(self, pause_ms):
        world = self.scene.world
        world.run_until(world.now_ms + pause_ms)

    @stateful.rule(fault=NAMED, endpoint=ENDPOINTS, gateway=GATEWAYS)
    def strike(self, fault, endpoint, gateway):
        """Have a fault strike, at the action that comes next if it can."""
        action = self.soon(0)
        name = _fleet.GATEWAYS[gateway]
        blow = _faults.Blow(self.scene, action, endpoint, name)
        delays = _faults.FAULTS[fault].strike(blow)
        if delays:
            self.put_off(action, delays)

    @stateful.rule(place=strategies.integers(1, MOST_SOON), delay=PAUSES_MS)
    def overtake(self, place, delay):
        """Let what is due soon happen later than what follows it."""
        action = self.soon(place)
        if action.point is not replay.Point.DELIVER:
            self.put_off(action, (delay,))

    def soon(self, place: int) -> replay.Action:
        """Return one of the next actions."""
        world = self.scene.world
        due = [
            entry
            for entry in heapq.nsmallest(MOST_SOON, world.heap)
            if entry[0] <= world.now_ms + SOON_MS or not place
        ]
        steps = [x[2] for x in due if x[2].point is not replay.Point.OTHER]
        steps = steps or [heapq.nsmallest(1, world.heap)[0][2]]
        return steps[place % len(steps)]

    def put_off(self, action: replay.Action, delays) -> None:
        """Let an action happen after delays, as ``intercept`` does."""
        world = self.scene.world
        place = [entry[2] for entry in world.heap].index(action)
        at_ms = world.heap.pop(place)[0]
        heapq.heapify(world.heap)
        for delay_ms in delays:
            world.push(at_ms + delay_ms, action)
