"""A search for an order of events that breaks a promise.

Two gateways, a model engine and a plain service with their sidecars, and the
log. Where the matrix strikes at every step of known flows, this looks for
flows that nobody thought of: each walk is a series of steps drawn from its
number alone, so that the same number always plays the same walk.
"""

import collections.abc
import dataclasses
import heapq
import random

from berylhollow import replay
from tools.matrix import _faults
from tools.matrix import _fleet
from tools.matrix import _scene

ENGINE = 'e1'
SERVICE = 'p1'
ADAPTERS = ('a1', 'a2', 'a3', 'a4', 'n1')
KEYS = ('k1', 'k2', 'k3')
TOKENS = (1, 5, 40)
PAUSES_MS = (1, 3, 10, 50, 200, 1000)
STEPS = 25
SOON_MS = 20.0
MOST_SOON = 12
RECOVERY_MS = _fleet.LINK_RECOVERY_MS + _scene.RECOVERY_MS
"""There is one engine here: unlike in the matrix, no other stands in while
the link to it is not due to be tried again."""


@dataclasses.dataclass(frozen=True, slots=True)
class AskModel:
    """A caller asks for an adapter."""

    adapter: str
    gateway: str
    tokens: int

    def take(self, scene: _scene.Scene) -> None:
        number = _fleet.GATEWAYS.index(self.gateway)
        scene.model(self.adapter, number, tokens=self.tokens)


@dataclasses.dataclass(frozen=True, slots=True)
class AskModelOnce:
    """A caller asks for an adapter by a key that must not run twice.

    All requests with one key are the same request, as a caller that sends
    its request again sends it unchanged.
    """

    key: str
    gateway: str

    def take(self, scene: _scene.Scene) -> None:
        number = _fleet.GATEWAYS.index(self.gateway)
        scene.model(ADAPTERS[0], number, key=self.key)


@dataclasses.dataclass(frozen=True, slots=True)
class AskPlain:
    """A caller asks the plain service, which must not run a key twice."""

    key: str
    gateway: str

    def take(self, scene: _scene.Scene) -> None:
        scene.plain(_fleet.GATEWAYS.index(self.gateway), self.key)


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Time passes."""

    pause_ms: float

    def take(self, scene: _scene.Scene) -> None:
        scene.world.run_until(scene.world.now_ms + self.pause_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class Strike:
    """A fault strikes, at the action that comes next if it can."""

    fault: str
    endpoint: str
    gateway: str

    def take(self, scene: _scene.Scene) -> None:
        action = _soon(scene.world, 0)
        blow = _faults.Blow(scene, action, self.endpoint, self.gateway)
        delays_ms = _faults.FAULTS[self.fault].strike(blow)
        if delays_ms:
            _put_off(scene.world, action, delays_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class Overtake:
    """What is due soon happens later than what follows it."""

    place: int
    delay_ms: float

    def take(self, scene: _scene.Scene) -> None:
        action = _soon(scene.world, self.place)
        if action.point is not replay.Point.DELIVER:
            _put_off(scene.world, action, (self.delay_ms,))


Step = AskModel | AskModelOnce | AskPlain | Wait | Strike | Overtake


def _soon(world: replay.World, place: int) -> replay.Action:
    """Return one of the next actions."""
    due = [
        entry
        for entry in heapq.nsmallest(MOST_SOON, world.heap)
        if entry[0] <= world.now_ms + SOON_MS or not place
    ]
    steps = [x[2] for x in due if x[2].point is not replay.Point.OTHER]
    steps = steps or [heapq.nsmallest(1, world.heap)[0][2]]
    return steps[place % len(steps)]


def _put_off(
    world: replay.World,
    action: replay.Action,
    delays_ms: collections.abc.Sequence[float],
) -> None:
    """Let an action happen after delays, as ``intercept`` does."""
    place = [entry[2] for entry in world.heap].index(action)
    at_ms = world.heap.pop(place)[0]
    heapq.heapify(world.heap)
    for delay_ms in delays_ms:
        world.push(at_ms + delay_ms, action)


def walk(seed: int) -> list[Step]:
    """Return the steps of one walk."""
    chance = random.Random(seed)
    return [_draw(chance) for _ in range(chance.randint(1, STEPS))]


def _draw(chance: random.Random) -> Step:
    gateway = chance.choice(_fleet.GATEWAYS)
    kind = chance.choice(Step.__args__)
    if kind is AskModel:
        adapter = chance.choice(ADAPTERS)
        return AskModel(adapter, gateway, chance.choice(TOKENS))
    if kind in (AskModelOnce, AskPlain):
        return kind(chance.choice(KEYS), gateway)
    if kind is Wait:
        return Wait(chance.choice(PAUSES_MS))
    if kind is Strike:
        fault = chance.choice(sorted(_faults.FAULTS))
        return Strike(fault, chance.choice((ENGINE, SERVICE)), gateway)
    return Overtake(chance.randint(1, MOST_SOON), chance.choice(PAUSES_MS))


def play(steps: collections.abc.Iterable[Step]) -> list[replay.Violation]:
    """Take the steps, let all faults end, and return what was broken."""
    with _fleet.scaled():
        scene = _scene.Scene(
            engines=(ENGINE,), services=(SERVICE,), recovery_ms=RECOVERY_MS
        )
        for step in steps:
            step.take(scene)
            if scene.oracle.violations:
                return scene.oracle.violations
        scene.run()
        return scene.oracle.violations


@dataclasses.dataclass(frozen=True, slots=True)
class Played:
    """A walk by its number, and what it broke."""

    seed: int
    violations: list[replay.Violation]


def play_seed(seed: int) -> Played:
    """Play the walk with a number."""
    return Played(seed, play(walk(seed)))


def shrink(steps: list[Step]) -> list[Step]:
    """Leave out steps as long as some promise is still broken."""
    place = 0
    while place < len(steps):
        fewer = steps[:place] + steps[place + 1 :]
        if play(fewer):
            steps = fewer
            place = 0
        else:
            place += 1
    return steps
