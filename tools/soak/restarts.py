"""Play streams over endpoints whose next start listens at once.

A supervisor or a machine of its own may start an endpoint in place: its port
accepts connections again within milliseconds. Nothing but endpoints fails.
Exits with 1 if an answer that ended as complete lacks its last event, if
events are out of order or of two software versions, or if an answer was broken
off although its endpoint lived.
"""

import argparse
import asyncio
import collections
import itertools
import pathlib
import random
import sys
import tempfile
import time

from tools.soak import _operator
from tools.soak import _streams
from tools.soak import _world

CALM_S = 6
"""Without faults, at the beginning and at the end."""

BROKEN_OFF_S = 1.0
"""An answer that ends this long after a crash may have been cut by it."""

PLAIN = 6
GATEWAYS = 3
SHOWN = 5


async def _crash(
    world: _world.World, chance: random.Random, gap_s: float, seconds: float
) -> list[tuple[float, str]]:
    """Kill one endpoint after the other; return when and which."""
    crashes = []
    end = time.monotonic() + seconds
    for name in itertools.cycle(world.plain):
        if time.monotonic() >= end:
            break
        crashes.append((await world.restart_in_place(name), name))
        await asyncio.sleep(gap_s * chance.uniform(0.5, 1.5))
    return crashes


async def play(arguments, folder: str) -> bool:
    """Play one seed, tell what callers saw; return whether all held."""
    chance = random.Random(arguments.seed)
    builds = _world.Builds(
        arguments.other.resolve(), frozenset({'gateway', 'sidecar'})
    )
    world = _world.World(
        folder, GATEWAYS, 0, PLAIN, builds, releases=True, in_place=True
    )
    operator = _operator.Operator(
        world, random.Random(chance.random()), streams=True
    )
    callers = _streams.Callers(world, arguments.seed, _streams.FRAMINGS)
    tasks = []
    try:
        await world.start()
        await operator.begin()
        await asyncio.sleep(_world.CONTACT_MS / 1000)
        for _ in range(arguments.callers):
            tasks.append(asyncio.create_task(callers.call()))
        await asyncio.sleep(CALM_S)
        crashes = await _crash(world, chance, arguments.gap, arguments.seconds)
        await asyncio.sleep(CALM_S)
        stopped = time.monotonic()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    finally:
        world.logs()
        await world.close()
    return _tell(callers.streams, crashes, stopped, folder)


def _tell(streams, crashes, stopped: float, folder: str) -> bool:
    """Print the counts and the first broken streams."""
    tries = [
        x for stream in streams for x in stream.tries if x.ended < stopped
    ]
    last = {id(x): stream for stream in streams for x in stream.tries}
    begun = [x for x in tries if x.status == 200]
    false_ends = [
        x for x in begun if x.is_whole and x.first + x.got <= _streams.EVENTS
    ]
    broken_off = [
        x
        for x in begun
        if not x.is_whole
        and x.first + x.got > _streams.EVENTS
        and not _is_near_crash(x, crashes)
    ]
    mixed = [x for x in streams if len(x.versions) > 1]
    disordered = [x for x in streams if not x.is_in_order]
    whole = collections.Counter(x.framing for x in begun if x.is_whole)
    print(
        f'{len(streams)} streams, {len(tries)} answers, whole {dict(whole)},'
        f' {len(crashes)} crashes; complete before the last event'
        f' {len(false_ends)}, whole but broken off in calm'
        f' {len(broken_off)}, of two versions {len(mixed)},'
        f' out of order {len(disordered)}'
    )
    for name, found in (('false end', false_ends), ('broken', broken_off)):
        for x in found[:SHOWN]:
            before = [
                f'{round((x.ended - at) * 1000)} ms after {name}'
                for at, name in crashes
                if at < x.ended < at + BROKEN_OFF_S
            ]
            print(f'  {name}: {x} {before} {last[id(x)].versions}')
    print(f'  logs: {folder}', flush=True)
    return not (false_ends or broken_off or mixed or disordered)


def _is_near_crash(attempt: _streams.Try, crashes) -> bool:
    return any(at < attempt.ended < at + BROKEN_OFF_S for at, _ in crashes)


def main() -> int:
    parser = argparse.ArgumentParser(prog='python -m tools.soak.restarts')
    parser.add_argument('seed', type=int)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--callers', type=int, default=80)
    parser.add_argument(
        '--gap', type=float, default=1.0, help='seconds between two crashes'
    )
    parser.add_argument(
        '--other',
        type=pathlib.Path,
        default=_world.ROOT,
        help='the checkout whose gateways are played',
    )
    arguments = parser.parse_args()
    folder = tempfile.mkdtemp(prefix=f'restarts-{arguments.seed}-')
    return 0 if asyncio.run(play(arguments, folder)) else 1


if __name__ == '__main__':
    sys.exit(main())
