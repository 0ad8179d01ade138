"""The faults that the brief names, as something that strikes a scene.

A fault is over by itself after a while. ``planned`` ones must not fail a
request.
"""

import collections.abc
import dataclasses

from berylhollow import replay
from berylhollow.standin import faults
from tools.matrix import _fleet
from tools.matrix import _scene

Point = replay.Point
SHORT_MS = 400
LONG_MS = 2500
"""Longer than a link stays up, a lease lasts or a resume is waited for."""


@dataclasses.dataclass(slots=True, eq=False)
class Blow:
    """One strike: the scene, the action that it strikes at, and whom."""

    scene: _scene.Scene
    action: replay.Action
    endpoint: str
    gateway: str

    @property
    def world(self) -> replay.World:
        return self.scene.world


Strike = collections.abc.Callable[[Blow], tuple[float, ...] | None]


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault by its name; ``strike`` may touch the action itself."""

    name: str
    strike: Strike
    planned: bool = False


def switch(blow: Blow, owner: str, fault: str, for_ms: float) -> None:
    """Turn a fault of a model on for a while."""
    world = blow.world
    switches = {
        'log': world.log.faults,
        'instances': world.instances.faults,
        'weights': world.weights.faults,
    }.get(owner)
    if switches is None:
        switches = world.endpoints[owner].faults
    switches.start(fault, world.now_ms, for_ms)
    blow.scene.lasts(for_ms)


def platform_fault(owner: str, fault: faults.PlatformFault, for_ms: float):
    return lambda blow: switch(blow, owner, fault, for_ms)


def engine_fault(fault: faults.EngineFault, for_ms: float):
    def strike(blow: Blow) -> None:
        if blow.endpoint in _fleet.ENGINES:
            switch(blow, blow.endpoint, fault, for_ms)

    return strike


def restart(blow: Blow) -> None:
    """The endpoint restarts cold; a plain service is gone for a while."""
    driver = blow.world.endpoints[blow.endpoint]
    if blow.endpoint in _fleet.ENGINES:
        driver.crash()
    else:
        switch(blow, blow.endpoint, faults.ServiceFault.CRASH, SHORT_MS)


def connection_broken(blow: Blow) -> None:
    """The endpoint drops the connection of one run, and lives on."""
    blow.world.endpoints[blow.endpoint].drop_connection()


def hang(blow: Blow) -> None:
    fault = faults.EngineFault.HANG
    if blow.endpoint not in _fleet.ENGINES:
        fault = faults.ServiceFault.HANG
    switch(blow, blow.endpoint, fault, 3 * SHORT_MS)


def answer_lost(blow: Blow) -> None:
    """A plain service runs its calls and loses their answers."""
    for name in _fleet.SERVICES:
        if name in blow.world.endpoints:
            lost = faults.ServiceFault.RESET_AFTER_RUN
            switch(blow, name, lost, SHORT_MS)


def kill(role: str):
    return lambda blow: blow.world.kill(getattr(blow, role))


def stop(role: str):
    return lambda blow: blow.world.stop(getattr(blow, role))


def leave(blow: Blow) -> None:
    blow.world.leave(blow.endpoint)


def pause(role: str, for_ms: float):
    def strike(blow: Blow) -> None:
        process = blow.world.listener(getattr(blow, role))
        process.pause()
        blow.scene.later(for_ms, process.resume)

    return strike


def replace_paused(blow: Blow) -> None:
    """A sidecar is paused beyond any lease and its replacement ordered.

    The replacement waits for the port; the paused one wakes up, acts, and
    only then is ended.
    """
    process = blow.world.listener(blow.endpoint)
    process.pause()
    blow.scene.later(SHORT_MS, blow.world.start, blow.endpoint)
    blow.scene.later(LONG_MS, process.resume)
    blow.scene.later(LONG_MS + SHORT_MS, process.end, None)


def cut(blow: Blow) -> None:
    """Both links of the endpoint break; they may be opened again."""
    network = blow.world.network
    for link in network.links_of(blow.world.listener(blow.endpoint)):
        network.cut(link)


def separate(blow: Blow) -> None:
    """A gateway and an endpoint can't reach each other for long."""
    network = blow.world.network
    pair = (blow.gateway, blow.endpoint)
    network.separate(*pair)
    blow.scene.later(LONG_MS, network.reunite, *pair)


def slow_link(blow: Blow) -> None:
    network = blow.world.network
    pair = frozenset((blow.gateway, blow.endpoint))
    network.extra_ms[pair] = 300
    blow.scene.later(LONG_MS, network.extra_ms.pop, pair, None)


def late_frame(blow: Blow) -> tuple[float, ...] | None:
    """A message comes after those that were sent later."""
    return (SHORT_MS,) if blow.action.point is Point.DELIVER else None


def doubled_frame(blow: Blow) -> tuple[float, ...] | None:
    return (0, 30) if blow.action.point is Point.DELIVER else None


def late_order(blow: Blow) -> tuple[float, ...] | None:
    """A load order reaches the engine after it was given up."""
    return (3 * SHORT_MS,) if blow.action.point is Point.ORDER else None


def crashing_request(blow: Blow) -> None:
    """A request crashes each engine that runs it, and is sent again."""
    scene = blow.scene
    request = scene.model_request('a1', crash=True)
    scene.send(request, tries=8)
    scene.model('a1', 1, tokens=20)


def popularity_flip(blow: Blow) -> None:
    """Adapters that nobody wanted are wanted by many at once."""
    for number in range(12):
        blow.scene.model(f'b{number % 4}', number % 2, tokens=4)


def racing_publishes(blow: Blow) -> None:
    """Two operators publish changes with one base at the same moment."""
    scene = blow.scene
    number = len(scene.publications)
    scene.add_adapter(f'c{number}')
    scene.add_adapter(f'd{number}')


PLATFORM = faults.PlatformFault
ENGINE = faults.EngineFault
FAULTS = {
    fault.name: fault
    for fault in (
        Fault('engine restart', restart),
        Fault('engine hang', hang),
        Fault('endpoint drops a connection', connection_broken),
        Fault('load fails', engine_fault(ENGINE.LOAD_FAILS, 2 * SHORT_MS)),
        Fault(
            'load hangs',
            platform_fault('weights', PLATFORM.LOAD_HANGS, LONG_MS),
        ),
        Fault(
            'load answer lost',
            engine_fault(ENGINE.LOAD_ANSWER_LOST, 2 * SHORT_MS),
        ),
        Fault('load order late', late_order),
        Fault(
            'weight store down',
            platform_fault('weights', PLATFORM.WEIGHTS_DOWN, 2 * SHORT_MS),
        ),
        Fault('log down', platform_fault('log', PLATFORM.LOG_DOWN, LONG_MS)),
        Fault('log slow', platform_fault('log', PLATFORM.LOG_SLOW, LONG_MS)),
        Fault(
            'append answer lost',
            platform_fault('log', PLATFORM.APPEND_ANSWER_LOST, 2 * SHORT_MS),
        ),
        Fault(
            'instance list stale',
            platform_fault('instances', PLATFORM.INSTANCES_FROZEN, LONG_MS),
        ),
        Fault(
            'engine reports stale', engine_fault(ENGINE.STATUS_STALE, LONG_MS)
        ),
        Fault('service answer lost', answer_lost),
        Fault('gateway killed', kill('gateway')),
        Fault('sidecar killed', kill('endpoint')),
        Fault('gateway paused', pause('gateway', SHORT_MS)),
        Fault('sidecar paused', pause('endpoint', SHORT_MS)),
        Fault('gateway paused for long', pause('gateway', LONG_MS)),
        Fault('sidecar paused for long', pause('endpoint', LONG_MS)),
        Fault('sidecar paused, then replaced', replace_paused),
        Fault('link cut', cut),
        Fault('link down', separate),
        Fault('link slow', slow_link),
        Fault('frame late', late_frame),
        Fault('frame doubled', doubled_frame),
        Fault('racing publishes', racing_publishes),
        Fault('crashing request', crashing_request),
        Fault('popularity flip', popularity_flip),
        Fault('endpoint leaving', leave, planned=True),
        Fault('gateway stopped', stop('gateway'), planned=True),
        Fault('sidecar stopped', stop('endpoint'), planned=True),
    )
}
