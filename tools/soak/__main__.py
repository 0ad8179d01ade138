"""Play one seed of the soak, or several; a line for each promise.

Exits with 1 if one was broken. A promise that was never put to the question
counts as not run, not as kept.
"""

import argparse
import asyncio
import pathlib
import random
import signal
import sys
import tempfile
import time

from tools.soak import _admissions
from tools.soak import _callers
from tools.soak import _operator
from tools.soak import _promises
from tools.soak import _schedule
from tools.soak import _series
from tools.soak import _streams
from tools.soak import _world

CALM_S = 18
"""Without faults at the end; the last third of it shows the recovery."""

SHOWN = 3


async def play(seed: int, arguments, folder: str) -> dict:
    """Play one seed and return the verdicts."""
    chance = random.Random(seed)
    builds = _world.Builds(
        arguments.other.resolve(),
        frozenset(arguments.other_roles),
        arguments.only_first,
    )
    world = _world.World(
        folder,
        arguments.gateways,
        arguments.models,
        arguments.plain,
        builds,
        arguments.streams > 0,
    )
    operator = _operator.Operator(
        world,
        random.Random(chance.random()),
        arguments.paced,
        arguments.streams > 0,
    )
    schedule = _schedule.Schedule(
        world, operator, random.Random(chance.random()), arguments.seconds
    )
    callers = _callers.Callers(
        world,
        operator,
        random.Random(chance.random()),
        arguments.cut_plain,
    )
    streams = _streams.Callers(world, seed)
    tasks = []
    try:
        await world.start()
        await operator.begin()
        tasks.append(asyncio.create_task(callers.watch()))
        for number in range(arguments.callers):
            limited = number % 3 == 0
            tasks.append(asyncio.create_task(callers.call(limited)))
        tasks.append(asyncio.create_task(callers.call_large()))
        for number in range(arguments.crowd):
            in_crowd = callers.call_in_crowd(schedule.crowd, number)
            tasks.append(asyncio.create_task(in_crowd))
        for _ in range(arguments.streams):
            tasks.append(asyncio.create_task(streams.call()))
        await asyncio.sleep(_world.CONTACT_MS / 1000)
        await callers.crash_endpoints()
        culprits = [asyncio.create_task(callers.go_on_crashing())]
        if arguments.bursts:
            bursts = callers.crash_in_bursts()
            culprits.append(asyncio.create_task(bursts))
        if arguments.prompts:
            for is_bad in (False, True):
                asking = callers.ask_prompts(is_bad)
                culprits.append(asyncio.create_task(asking))
        tasks += culprits
        if arguments.paced:
            tasks.append(asyncio.create_task(callers.flood()))
        await _series.BY_NAME[arguments.series](schedule)
        faults_ended = time.monotonic()
        for culprit in culprits:
            culprit.cancel()
        if schedule.changing is not None:
            tasks.append(schedule.changing)
        await asyncio.sleep(CALM_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        admissions = _admissions.Seen()
        if arguments.paced:
            await asyncio.sleep(_admissions.SETTLED_S)
            admissions = await _admissions.see(world, faults_ended)
        account = _promises.Account(
            callers.exchanges,
            world.runs(),
            operator,
            schedule,
            time.monotonic() - CALM_S / 3,
            world.arrivals(),
            admissions,
            streams.streams,
        )
        verdicts = account.verdicts()
        _tell(seed, account, verdicts, folder)
    finally:
        await world.close()
        world.logs()
    return verdicts


def _tell(seed, account, verdicts, folder) -> None:
    kinds = sorted({fault.kind for fault in account.schedule.faults})
    print(f'seed {seed}: {len(account.exchanges)} requests, {kinds}')
    for name, verdict in verdicts.items():
        word = 'not run' if not verdict.asked else 'asked'
        print(
            f'  {name}: {word} {verdict.asked}, broken {len(verdict.broken)}'
        )
        for told in verdict.broken[:SHOWN]:
            print(f'    {told}')
            for line in account.timeline(told):
                print(f'      {line}')
    print(f'  logs: {folder}', flush=True)


async def _until_told(playing) -> dict:
    """Play, and end all processes also if we are told to stop."""
    task = asyncio.create_task(playing)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    return await task


def parse_arguments():
    parser = argparse.ArgumentParser(prog='python -m tools.soak')
    parser.add_argument('seeds', nargs='+', type=int)
    parser.add_argument('--seconds', type=float, default=40)
    parser.add_argument('--gateways', type=int, default=3)
    parser.add_argument('--models', type=int, default=2)
    parser.add_argument('--plain', type=int, default=3)
    parser.add_argument('--callers', type=int, default=12)
    parser.add_argument('--crowd', type=int, default=320)
    parser.add_argument(
        '--bursts',
        action='store_true',
        help='repeat new culprits quickly, at all gateways',
    )
    parser.add_argument(
        '--prompts',
        action='store_true',
        help='send prompts with shared parts, one of which crashes endpoints',
    )
    parser.add_argument(
        '--paced',
        action='store_true',
        help='declare models whose prompts need an admission, and a flood',
    )
    parser.add_argument(
        '--streams',
        type=int,
        default=0,
        help='callers who take up broken streams, beside two versions',
    )
    parser.add_argument(
        '--cut-plain',
        action='store_true',
        help='cut answers of plain endpoints, too, which culprits crash',
    )
    parser.add_argument(
        '--series',
        default='rounds',
        choices=_series.BY_NAME,
        help='what is done to the programs, faults in rounds by default',
    )
    parser.add_argument(
        '--other',
        type=pathlib.Path,
        default=_world.ROOT,
        help='a second checkout, for runs with two builds',
    )
    parser.add_argument(
        '--other-roles',
        nargs='*',
        default=(),
        choices=('gateway', 'sidecar'),
        help='programs that run from the second checkout',
    )
    parser.add_argument(
        '--only-first',
        action='store_true',
        help='only at their first start; started again they run from this one',
    )
    return parser.parse_args()


def main() -> int:
    arguments = parse_arguments()
    broken = []
    for seed in arguments.seeds:
        folder = tempfile.mkdtemp(prefix=f'soak-{seed}-')
        verdicts = asyncio.run(_until_told(play(seed, arguments, folder)))
        if any(verdict.broken for verdict in verdicts.values()):
            broken.append(seed)
    print(f'{len(arguments.seeds)} seeds played, broken: {broken or "none"}')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
