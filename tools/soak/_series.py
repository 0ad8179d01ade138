"""Series of losses that take the place of a schedule's rounds."""

import asyncio
import collections.abc
import itertools
import time

from tools.soak import _schedule

Series = collections.abc.Callable[
    [_schedule.Schedule], collections.abc.Awaitable[None]
]

DOWN_S = 1.0
RECOVERED_S = 6.0
"""By then callers are served again and suspicions cleared."""


async def restart(
    schedule: _schedule.Schedule, name: str, down_s: float = 0.0
) -> None:
    """Kill a process and start it again."""
    fault = _schedule.Fault('kill', name, time.monotonic())
    schedule.faults.append(fault)
    await schedule.world.replace(name)
    await asyncio.sleep(down_s)
    await schedule.start(name)
    fault.until = time.monotonic()


async def lose_all(schedule: _schedule.Schedule) -> None:
    """Kill all plain endpoints in one moment, again and again."""
    end = time.monotonic() + schedule.duration_s
    while time.monotonic() < end:
        await asyncio.gather(
            *(restart(schedule, name, DOWN_S) for name in schedule.world.plain)
        )
        await asyncio.sleep(RECOVERED_S)


async def lose_each(schedule: _schedule.Schedule) -> None:
    """Kill one plain endpoint after the other, a second apart."""
    end = time.monotonic() + schedule.duration_s
    for name in itertools.cycle(schedule.world.plain):
        if time.monotonic() >= end:
            return
        await restart(schedule, name, DOWN_S / 3)
        await asyncio.sleep(DOWN_S * 2 / 3)


async def lose_one(schedule: _schedule.Schedule) -> None:
    """Kill one plain endpoint once."""
    await restart(schedule, schedule.world.plain[0], DOWN_S)
    await asyncio.sleep(RECOVERED_S)


async def lose_newest(schedule: _schedule.Schedule) -> None:
    """Lose the newest configuration, then restart all gateways.

    A key is replaced, the store comes back from a copy made before, and
    nobody writes again until the end.
    """
    world = schedule.world
    await world.control('copy')
    await asyncio.sleep(DOWN_S)
    await schedule.operator.replace_key()
    await asyncio.sleep(2 * DOWN_S)
    await world.control('come_back')
    for name in world.gateways:
        await restart(schedule, name)
    await asyncio.sleep(schedule.duration_s)


async def versions(schedule: _schedule.Schedule) -> None:
    """Name versions in series while a crowd keeps the queues full."""
    end = time.monotonic() + schedule.duration_s
    while time.monotonic() < end:
        await schedule.name_in_crowd()
        await asyncio.sleep(RECOVERED_S)


BY_NAME: dict[str, Series] = {
    'rounds': lambda schedule: schedule.play(),
    'lose-all': lose_all,
    'lose-each': lose_each,
    'lose-one': lose_one,
    'lose-newest': lose_newest,
    'versions': versions,
}
