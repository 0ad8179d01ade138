"""Play streams that callers take up again over one kind of fault.

Endpoints are of two software versions. Exits with 1 if an answer that ended as
complete lacks its last event, if events are out of order, of two software
versions or joined from two runs, or if an answer was broken off in calm.
"""

import argparse
import asyncio
import collections
import collections.abc
import dataclasses
import json
import pathlib
import random
import signal
import sys
import tempfile
import time

from tools.soak import _operator
from tools.soak import _proxy
from tools.soak import _schedule
from tools.soak import _series
from tools.soak import _streams
from tools.soak import _world

CALM_S = 6
"""Without faults, at the beginning and at the end."""

STREAM_S = _streams.EVENTS * _streams.EVENT_S
BROKEN_OFF_S = 1.0
"""An answer that ends this long after a fault may have been cut by it."""

END_S = 0.5
"""From the last event to the end: a caller who leaves meanwhile has left."""

GATEWAYS = 3
ENDPOINTS = 6
KEEPERS = 2
"""Endpoints with models beside plain ones: their sidecars keep which version
began a stream."""

VERSIONS = ('v1', 'v2')
LONGEST_DOWN_S = 2.0
LONGEST_HARM_S = 1.5
LINKS = ('slow', 'silent', 'deaf')
SHARE_PERIOD_S = 0.1
SHOWN = 5

Kind = collections.abc.Callable[
    [_schedule.Schedule, int], collections.abc.Awaitable[None]
]
"""Begins a fault and waits for its end; given how many came before."""


def _nth(names: collections.abc.Sequence[str], number: int) -> str:
    return names[number % len(names)]


def _program(schedule: _schedule.Schedule, number: int) -> str:
    """Return the gateway of a turn; in a roll sidecars have turns, too."""
    world = schedule.world
    sidecars = [f's{name}' for name in world.models]
    rolled = sidecars if world.builds.only_first else []
    return _nth([*world.gateways, *rolled], number)


def _of_version(world: _world.World, version: str) -> list[str]:
    now = time.monotonic()
    return [x for x in world.streaming if world.software_at(x, now) == version]


async def _start_in_place(
    schedule: _schedule.Schedule, name: str, software: str
) -> None:
    at = await schedule.world.restart_in_place(name, software)
    schedule.faults.append(
        _schedule.Fault('in place', name, at, time.monotonic())
    )


async def _restart(schedule: _schedule.Schedule, number: int) -> None:
    """A next start listens at once, as a supervisor starts it in place."""
    name = _nth(schedule.world.streaming, number)
    software = schedule.world.software_at(name, time.monotonic())
    await _start_in_place(schedule, name, software)


async def _change_place(schedule: _schedule.Schedule, number: int) -> None:
    """Two endpoints start in place, each with the version of the other."""
    await asyncio.gather(
        *(
            _start_in_place(
                schedule,
                _nth(_of_version(schedule.world, version), number),
                VERSIONS[1 - place],
            )
            for place, version in enumerate(VERSIONS)
        )
    )


async def _kill_gateway(schedule: _schedule.Schedule, number: int) -> None:
    await schedule.kill(_program(schedule, number))


async def _stop_gateway(schedule: _schedule.Schedule, number: int) -> None:
    await schedule.stop(_program(schedule, number))


async def _freeze_gateway(schedule: _schedule.Schedule, number: int) -> None:
    await schedule.freeze(_program(schedule, number))


async def _kill_endpoint(schedule: _schedule.Schedule, number: int) -> None:
    name = _nth(schedule.world.streaming, number)
    down_s = schedule.chance.uniform(0, LONGEST_DOWN_S)
    await _series.restart(schedule, name, down_s)


async def _reset(schedule: _schedule.Schedule, number: int) -> None:
    name = _nth(schedule.world.streaming, number)
    schedule.world.proxies[name].reset()
    now = time.monotonic()
    schedule.faults.append(_schedule.Fault('reset', name, now, now))


async def _lose_version(schedule: _schedule.Schedule, number: int) -> None:
    """All endpoints of one version are away for a time, and a gateway."""
    lost = _of_version(schedule.world, _nth(VERSIONS, number))
    await asyncio.gather(
        _kill_gateway(schedule, number),
        *(_series.restart(schedule, x, LONGEST_DOWN_S) for x in lost),
    )


async def _mixture(schedule: _schedule.Schedule, number: int) -> None:
    kinds = [x for x in KINDS.values() if x is not _mixture]
    await schedule.chance.choice(kinds)(schedule, number)


KINDS: dict[str, Kind] = {
    'restart': _restart,
    'change-place': _change_place,
    'kill-gateways': _kill_gateway,
    'stop-gateways': _stop_gateway,
    'freeze-gateways': _freeze_gateway,
    'kill-endpoints': _kill_endpoint,
    'reset': _reset,
    'lose-version': _lose_version,
    'mixture': _mixture,
}
WITH_PROXIES = frozenset({'reset', 'mixture'})


async def _harm_links(schedule: _schedule.Schedule, mode: _proxy.Mode):
    """Harm the link to one endpoint after the other."""
    while True:
        await schedule.switch_link(
            schedule.chance.choice(schedule.world.streaming),
            mode,
            schedule.chance.uniform(0.1, LONGEST_HARM_S),
        )
        await asyncio.sleep(schedule.chance.uniform(0.1, 1))


async def _limit_processor(world: _world.World, share: float) -> None:
    """Let each gateway run for a share of the time only."""
    while True:
        gateways = [world.processes.get(x) for x in world.gateways]
        running = [x for x in gateways if x is not None]
        for process in running:
            process.signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(SHARE_PERIOD_S * (1 - share))
        finally:
            for process in running:
                process.signal(signal.SIGCONT)
        await asyncio.sleep(SHARE_PERIOD_S * share)


async def _play_faults(schedule: _schedule.Schedule, kind: Kind, gap_s: float):
    end = time.monotonic() + schedule.duration_s
    number = 0
    while time.monotonic() < end:
        await kind(schedule, number)
        number += 1
        await asyncio.sleep(gap_s * schedule.chance.uniform(0.5, 1.5))


async def play(arguments, folder: str) -> bool:
    """Play one seed, tell what callers saw; return whether all held."""
    chance = random.Random(arguments.seed)
    builds = _world.Builds(
        arguments.other.resolve(),
        frozenset({'gateway', 'sidecar'}),
        arguments.only_first,
    )
    world = _world.World(
        folder,
        GATEWAYS,
        ENDPOINTS if arguments.models else KEEPERS,
        0 if arguments.models else ENDPOINTS,
        builds,
        releases=True,
        keeps_software=True,
        direct=arguments.kind not in WITH_PROXIES and not arguments.links,
    )
    operator = _operator.Operator(
        world,
        random.Random(chance.random()),
        streams=True,
        stream_service=(
            _world.MODEL_SERVICE if arguments.models else _world.PLAIN_SERVICE
        ),
    )
    schedule = _schedule.Schedule(world, operator, chance, arguments.seconds)
    callers = _streams.Callers(
        world,
        arguments.seed,
        _streams.FRAMINGS,
        _operator.MODEL if arguments.models else '',
        arguments.padding,
        arguments.slow_readers,
    )
    tasks = []
    try:
        await world.start()
        await operator.begin()
        await asyncio.sleep(_world.CONTACT_MS / 1000)
        for _ in range(arguments.callers):
            tasks.append(asyncio.create_task(callers.call()))
            await asyncio.sleep(STREAM_S / arguments.callers)
        await asyncio.sleep(CALM_S)
        beside = []
        if arguments.links:
            mode = _proxy.Mode(arguments.links)
            beside.append(asyncio.create_task(_harm_links(schedule, mode)))
        if arguments.share < 1:
            beside.append(
                asyncio.create_task(_limit_processor(world, arguments.share))
            )
        await _play_faults(schedule, KINDS[arguments.kind], arguments.gap)
        for task in beside:
            task.cancel()
        for proxy in world.proxies.values():
            proxy.switch(_proxy.Mode.OPEN)
        await asyncio.sleep(CALM_S)
        stopped = time.monotonic()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    finally:
        await world.close()
        world.logs()
    return _tell(callers.streams, schedule.faults, stopped, folder)


def _tell(streams, faults, stopped: float, folder: str) -> bool:
    """Print the counts and the first broken streams; write all streams."""
    path = pathlib.Path(folder) / 'streams.jsonl'
    with path.open('w', encoding='utf-8') as file:
        for x in (*faults, *streams):
            file.write(json.dumps(dataclasses.asdict(x)) + '\n')
    tries = [
        x for stream in streams for x in stream.tries if x.ended < stopped
    ]
    whole = collections.Counter(x.framing for x in tries if x.is_whole)
    status = collections.Counter(x.status for x in tries)
    resumed = sum(x.status == 200 and x.first > 1 for x in tries)
    print(
        f'{len(streams)} streams, {len(tries)} answers, whole {dict(whole)},'
        f' status {dict(status)}, resumed {resumed}, {len(faults)} faults'
    )
    broken = find_broken(streams, faults, stopped)
    for title, found in broken.items():
        print(f'  {title}: {len(found)}')
        for x in found[:SHOWN]:
            before = [
                f'{round((x.ended - fault.since) * 1000)} ms after'
                f' {fault.kind} {fault.target}'
                for fault in _faults_before(x, faults)
            ]
            print(f'    {x} {before}')
    print(f'  logs: {folder}', flush=True)
    return not any(broken.values())


def find_broken(
    streams: collections.abc.Sequence[_streams.Stream],
    faults: collections.abc.Sequence[_schedule.Fault],
    stopped: float,
) -> dict[str, list[_streams.Try]]:
    """Return the answers that broke a promise, or ended such a stream."""
    begun = [
        x
        for stream in streams
        for x in stream.tries
        if x.status == 200 and x.ended < stopped
    ]
    return {
        'complete before the last event': [
            x for x in begun if x.is_whole and not x.has_last
        ],
        'whole but broken off in calm': [
            x
            for x in begun
            if x.has_last
            and not x.is_whole
            and not (x.has_left and x.ended < x.last_at + END_S)
            and not _faults_before(x, faults)
        ],
        'of two versions': [
            x.tries[-1] for x in streams if len(x.versions) > 1
        ],
        'out of order, missing or doubled': [
            x.tries[-1] for x in streams if not x.is_in_order
        ],
        'joined from two runs': [x for x in begun if x.is_joined],
    }


def _faults_before(
    attempt: _streams.Try, faults: collections.abc.Sequence[_schedule.Fault]
) -> list[_schedule.Fault]:
    """Return the faults that may have cut an answer."""
    return [
        x
        for x in faults
        if x.since < attempt.ended
        and (x.until is None or attempt.ended < x.until + BROKEN_OFF_S)
    ]


def main() -> int:
    parser = argparse.ArgumentParser(prog='python -m tools.soak.restarts')
    parser.add_argument('seed', type=int)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--callers', type=int, default=80)
    parser.add_argument('--kind', default='restart', choices=KINDS)
    parser.add_argument(
        '--models',
        action='store_true',
        help='endpoints have models and sidecars; 24 callers fill them',
    )
    parser.add_argument(
        '--gap', type=float, default=1.0, help='seconds between two faults'
    )
    parser.add_argument(
        '--links',
        choices=LINKS,
        help='links to endpoints are harmed as well, one after the other',
    )
    parser.add_argument(
        '--share',
        type=float,
        default=1.0,
        help='share of the time in which gateways run',
    )
    parser.add_argument(
        '--padding', type=int, default=0, help='bytes added to each event'
    )
    parser.add_argument(
        '--slow-readers',
        type=float,
        default=0.0,
        help='share of the callers who read slowly',
    )
    parser.add_argument(
        '--other',
        type=pathlib.Path,
        default=_world.ROOT,
        help='the checkout whose gateways and sidecars are played',
    )
    parser.add_argument(
        '--only-first',
        action='store_true',
        help='only at first starts, as in a roll of gateways and sidecars',
    )
    arguments = parser.parse_args()
    folder = tempfile.mkdtemp(prefix=f'restarts-{arguments.seed}-')
    return 0 if asyncio.run(play(arguments, folder)) else 1


if __name__ == '__main__':
    sys.exit(main())
