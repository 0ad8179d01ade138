"""Cells: a flow with one or two faults, each at a step of it."""

import collections
import dataclasses

from berylhollow import replay
from tools.matrix import _faults
from tools.matrix import _fleet
from tools.matrix import _flows
from tools.matrix import _scene

Point = replay.Point
WINDOW_MS = 2500
"""Steps of a flow are looked for this long after it began."""
QUIET = frozenset({'emit Count', 'emit Log'})


@dataclasses.dataclass(frozen=True, slots=True)
class Strike:
    """A fault at the n-th time of a step.

    Without a step, at the n-th action after the strike before.
    """

    fault: str
    step: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """One run: a flow, its strikes, and the seed of its world."""

    flow: str
    strikes: tuple[Strike, ...] = ()
    seed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What came of a cell; ``struck`` counts the strikes that happened."""

    cell: Cell
    violations: tuple[replay.Violation, ...]
    struck: int
    actions: int


class Injector:
    """Strikes where a cell says; the world's ``intercept``."""

    def __init__(self, scene: _scene.Scene, cell: Cell):
        self.scene = scene
        self.strikes = collections.deque(cell.strikes)
        self.endpoint = _flows.FLOWS[cell.flow].endpoint
        self.seen = 0
        self.struck = 0

    def __call__(
        self, world: replay.World, action: replay.Action
    ) -> replay.Delays | None:
        if not self.strikes or not countable(action):
            return None
        strike = self.strikes[0]
        if strike.step and action.step != strike.step:
            return None
        self.seen += 1
        if self.seen < strike.number:
            return None
        self.strikes.popleft()
        self.seen = 0
        self.struck += 1
        if not self.strikes:
            world.intercept = None
        return _faults.FAULTS[strike.fault].strike(self.blow(action))

    def blow(self, action: replay.Action) -> _faults.Blow:
        endpoint = self.endpoint
        if action.target in self.scene.world.endpoints:
            endpoint = action.target
        gateway = _fleet.GATEWAYS[0]
        if action.target in _fleet.GATEWAYS:
            gateway = action.target
        return _faults.Blow(self.scene, action, endpoint, gateway)


def countable(action: replay.Action) -> bool:
    """Tell whether an action is a step that a fault may strike at."""
    return action.point is not Point.OTHER and action.step not in QUIET


def run(cell: Cell) -> Result:
    """Run one cell from a fresh world to its end."""
    with _fleet.scaled():
        return run_scaled(cell)


def run_scaled(cell: Cell) -> Result:
    flow = _flows.FLOWS[cell.flow]
    planned = flow.planned and all(
        _faults.FAULTS[x.fault].planned for x in cell.strikes
    )
    scene = _scene.Scene(cell.seed, planned, flow.fenced)
    injector = Injector(scene, cell)
    if cell.strikes:
        scene.world.intercept = injector
    flow.begin(scene)
    scene.run()
    return Result(
        cell,
        tuple(scene.oracle.violations),
        injector.struck,
        scene.world.actions,
    )


def steps_of(flow: str, seed: int = 0) -> collections.Counter:
    """Return how often each step of a flow happens while it is at work."""
    with _fleet.scaled():
        return count_steps(flow, seed)


def count_steps(flow: str, seed: int) -> collections.Counter:
    scene = _scene.Scene(seed, fenced=_flows.FLOWS[flow].fenced)
    seen: collections.Counter = collections.Counter()

    def watch(world: replay.World, action: replay.Action) -> None:
        if countable(action):
            seen[action.step] += 1

    scene.world.intercept = watch
    _flows.FLOWS[flow].begin(scene)
    scene.world.run_until(_scene.SETTLED_MS + WINDOW_MS)
    return seen
