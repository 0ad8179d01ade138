"""The faults of a run, all drawn from its seed."""

import asyncio
import collections.abc
import dataclasses
import random
import signal
import time

from tools.soak import _operator
from tools.soak import _proxy
from tools.soak import _world

LONGEST_S = 6.0
PAUSE_S = 1.5
NARROW_S = 9.0
GROW_PAUSE_S = 12.0
CROWD_PAUSE_S = 20.0
CROWD_S = 8.0
FULL_S = 3.1
"""After a crowd has come, queues are full, and a calm lasts long enough."""

SERIES_PAUSE_S = 0.7
SERIES = 3
CHANNEL_MODES = (
    _proxy.Mode.OPEN,
    _proxy.Mode.SLOW,
    _proxy.Mode.SILENT,
    _proxy.Mode.DEAF,
    None,
)
"""What becomes of a connection to an endpoint or a sidecar; None resets it."""

LONGEST_CUT_S = 14.0
"""Beyond the time in which a key is taken away, and ends at every gateway."""


@dataclasses.dataclass
class Fault:
    """Something that was done to ``target`` from one time to another."""

    kind: str
    target: str
    since: float
    until: float | None = None


@dataclasses.dataclass
class Word:
    """What an endpoint said in its answers, from one time to another.

    ``value`` is a rate or a pause in seconds; leaving has none.
    """

    kind: str
    instance: str
    since: float
    value: float = 0.0
    until: float | None = None


class Schedule:
    """Faults one after the other and overlapping, for ``duration_s``."""

    def __init__(
        self,
        world: _world.World,
        operator: _operator.Operator,
        chance: random.Random,
        duration_s: float,
    ):
        self.world = world
        self.operator = operator
        self.chance = chance
        self.duration_s = duration_s
        self.faults: list[Fault] = []
        self.left: dict[str, float] = {}
        self.words: list[Word] = []
        self.changing: asyncio.Task | None = None
        self.crowd = asyncio.Event()
        self.kinds: list[collections.abc.Callable] = [
            self.kill,
            self.freeze,
            self.stop,
            self.store_away,
            self.store_cut,
            self.store_older,
            self.channel,
            self.restart_endpoint,
            self.leave,
            self.keys,
            self.keys_while_cut,
            self.limit,
            self.version,
            self.nonsense,
            self.name_rate,
            self.leave_by_answers,
            self.ask_for_pause,
        ]

    async def play(self) -> None:
        """Begin faults, in rounds of all kinds, and wait for their ends."""
        end = time.monotonic() + self.duration_s
        begun = [
            asyncio.create_task(self.grow(end)),
            asyncio.create_task(self.press(end)),
        ]
        kinds: list = []
        while time.monotonic() < end:
            if not kinds:
                kinds = self.chance.sample(self.kinds, len(self.kinds))
            begun.append(asyncio.create_task(kinds.pop()()))
            await asyncio.sleep(PAUSE_S * self.chance.random() * 2)
        await asyncio.gather(*begun)
        self.changing = asyncio.create_task(self.change_in_calm())

    async def change_in_calm(self) -> None:
        """Change what can't be judged well beside faults."""
        await self.name_in_crowd()
        await self.operator.publish_large()
        await self.operator.name_version()

    def lasting(self) -> float:
        return self.chance.uniform(0.5, LONGEST_S)

    async def during(self, kind: str, target: str, duration_s: float) -> None:
        """Note a fault for as long as it lasts."""
        fault = Fault(kind, target, time.monotonic())
        self.faults.append(fault)
        await asyncio.sleep(duration_s)
        fault.until = time.monotonic()

    def program(self) -> str:
        """Return a gateway or a sidecar on which nothing is under way."""
        busy = {fault.target for fault in self.faults if not fault.until}
        sidecars = [f's{name}' for name in self.world.models]
        names = [*self.world.gateways, *self.world.gateways, *sidecars]
        free = [name for name in names if name not in busy]
        return self.chance.choice(free or names)

    async def kill(self, name: str = '') -> None:
        name = name or self.program()
        if not self._free(name):
            return
        fault = Fault('kill', name, time.monotonic())
        self.faults.append(fault)
        await self.world.replace(name)
        await asyncio.sleep(self.chance.random())
        await self.start(name)
        fault.until = time.monotonic()

    async def stop(self, name: str = '') -> None:
        """Stop a program as planned, and start it again."""
        name = name or self.program()
        if not self._free(name):
            return
        fault = Fault('stop', name, time.monotonic())
        self.faults.append(fault)
        process = self.world.processes[name]
        process.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(_world.GRACE_S):
                await process.ended()
        except TimeoutError:
            fault.kind = 'stop beyond its grace'
        await self.world.replace(name)
        await self.start(name)
        fault.until = time.monotonic()

    async def freeze(self, name: str = '') -> None:
        name = name or self.program()
        if not self._free(name):
            return
        process = self.world.processes[name]
        process.signal(signal.SIGSTOP)
        await self.during('freeze', name, self.lasting())
        process.signal(signal.SIGCONT)

    def _free(self, name: str) -> bool:
        return not any(
            fault.target == name and fault.until is None
            for fault in self.faults
        )

    async def start(self, name: str) -> None:
        """Start a process of any role under its name."""
        if name in self.world.gateways:
            await self.world.start_gateway(name)
        elif name in (*self.world.models, *self.world.plain):
            await self.world.start_endpoint(name)
        else:
            await self.world.start_sidecar(name[1:])

    async def store_away(self) -> None:
        how = self.chance.choice(('down', 'silent'))
        if not self._free('store'):
            return
        await self.world.control('set', **{how: True})
        await self.during(how, 'store', self.lasting())
        await self.world.control('set')

    async def store_older(self) -> None:
        """The store comes back from a copy; all is written again."""
        if not self._free('store'):
            return
        await self.world.control('copy')
        await asyncio.sleep(self.chance.uniform(0.2, 3))
        if not self._free('store'):
            return
        await self.world.control('come_back')
        await self.during('older copy', 'store', self.chance.uniform(0, 1))
        await self.operator.write_again()

    async def store_cut(self) -> None:
        """Some gateways are cut from the store, or hear nothing from it."""
        count = self.chance.randint(1, len(self.world.gateways))
        names = self.chance.sample(self.world.gateways, count)
        mode = self.chance.choice(
            (_proxy.Mode.SILENT, _proxy.Mode.DEAF, _proxy.Mode.SLOW)
        )
        duration_s = self.chance.uniform(0.5, 9)
        await asyncio.gather(
            *(
                self.switch_link(f'{name} store', mode, duration_s)
                for name in names
            )
        )

    async def channel(self) -> None:
        """Connections to an endpoint or a sidecar are harmed."""
        endpoints = [*self.world.models, *self.world.plain]
        links = [f'{name} link' for name in self.world.models]
        name = self.chance.choice([*endpoints, *links])
        mode = self.chance.choice(CHANNEL_MODES)
        if mode is None:
            self.world.proxies[name].reset()
            await self.during('reset', name, 0.1)
            return
        await self.switch_link(name, mode, self.lasting())

    async def switch_link(self, name: str, mode, duration_s: float) -> None:
        """Change what becomes of the bytes on a link for some time."""
        proxy = self.world.proxies[name]
        proxy.switch(mode)
        await self.during(mode.value, name, duration_s)
        proxy.switch(_proxy.Mode.OPEN)

    async def restart_endpoint(self) -> None:
        """An endpoint is killed and starts again under its old name."""
        name = self.chance.choice([*self.world.models, *self.world.plain])
        if not self._free(name) or name in self.left:
            return
        fault = Fault('restart', name, time.monotonic())
        self.faults.append(fault)
        await self.world.replace(name)
        await asyncio.sleep(self.chance.random())
        await self.world.start_endpoint(name)
        await self.operator.tell_endpoints()
        fault.until = time.monotonic()

    async def leave(self) -> None:
        """A plain endpoint leaves and serves on; it starts anew later."""
        names = [n for n in self.world.plain if n not in self.left]
        if len(names) < 2 or not self._free(names[0]):
            return
        name = names[0]
        # Nothing else may restart it while the store takes its time.
        self.left[name] = float('inf')
        self.left[name] = await self.world.leave(name)

    def _speaker(self, names: list[str]) -> str | None:
        """Return an endpoint that has nothing to say and no fault."""
        saying = {x.instance for x in self.words if x.until is None}
        free = [
            name
            for name in names
            if self._free(name)
            and name not in self.left
            and f'i-{name}' not in saying
        ]
        return self.chance.choice(free) if free else None

    async def name_rate(self) -> None:
        """An endpoint names a rate that it takes, and ends it."""
        name = self._speaker([*self.world.models, *self.world.plain])
        if name is None:
            return
        rate = self.chance.choice((0.5, 1, 3))
        fault = Fault('rate', name, time.monotonic())
        self.faults.append(fault)
        at = await self.world.notices(name, rate_limits=[str(rate)])
        word = Word('rate', f'i-{name}', at, rate)
        self.words.append(word)
        await asyncio.sleep(self.chance.uniform(6, 12))
        word.until = await self.world.notices(name, rate_limits=[])
        fault.until = time.monotonic()

    async def ask_for_pause(self) -> None:
        """An endpoint turns requests away for a moment and wants a pause."""
        name = self._speaker(self.world.plain)
        if name is None:
            return
        pause_s = self.chance.choice((1.5, 3))
        fault = Fault('pause', name, time.monotonic())
        self.faults.append(fault)
        at = await self.world.notices(name, full=True, pauses=[str(pause_s)])
        word = Word('pause', f'i-{name}', at, pause_s)
        self.words.append(word)
        await asyncio.sleep(0.3)
        word.until = await self.world.notices(name, full=False, pauses=[])
        fault.until = time.monotonic()

    async def leave_by_answers(self) -> None:
        """An endpoint leaves by its answers alone, and starts anew later."""
        staying = [n for n in self.world.plain if n not in self.left]
        name = self._speaker(staying)
        if name is None or len(staying) < 2:
            return
        fault = Fault('leave by answers', name, time.monotonic())
        self.faults.append(fault)
        at = await self.world.notices(name, leaving=['1'])
        word = Word('leaving', f'i-{name}', at)
        self.words.append(word)
        await asyncio.sleep(self.chance.uniform(4, 9))
        await self.world.replace(name)
        word.until = time.monotonic()
        await self.world.start_endpoint(name)
        fault.until = time.monotonic()

    async def keys(self) -> None:
        await self.operator.replace_key()

    async def keys_while_cut(self) -> None:
        """A key is taken away while no gateway hears of it.

        One that hears of it tells the others.
        """
        mode = self.chance.choice((_proxy.Mode.SILENT, _proxy.Mode.DEAF))
        async with asyncio.TaskGroup() as group:
            for name in self.world.gateways:
                group.create_task(
                    self.switch_link(f'{name} store', mode, LONGEST_CUT_S)
                )
            group.create_task(self.operator.replace_key())

    async def grow(self, end: float) -> None:
        """Publish two large configurations in a row, again and again.

        All gateways but one have little room on their way to the store. The
        times are drawn apart from the faults, which stay those of the seed.
        """
        chance = random.Random(self.duration_s)
        while time.monotonic() < end:
            await asyncio.sleep(GROW_PAUSE_S * chance.random())
            narrow = chance.sample(
                self.world.gateways, len(self.world.gateways) - 1
            )
            async with asyncio.TaskGroup() as group:
                for name in narrow:
                    group.create_task(self._narrow(name))
                group.create_task(self.operator.publish_large())

    async def press(self, end: float) -> None:
        """Have crowds come beside the faults, at times of their own."""
        chance = random.Random(self.duration_s + 1)
        while True:
            await asyncio.sleep(CROWD_PAUSE_S * chance.random())
            if time.monotonic() >= end:
                return
            await self.name_in_crowd()

    async def name_in_crowd(self) -> None:
        """Name versions of the busiest adapters, one after the other.

        Each is named again before the time of the version before is over. The
        crowd ends in time for what is served in the calm.
        """
        self.crowd.set()
        asyncio.get_running_loop().call_later(CROWD_S, self.crowd.clear)
        await asyncio.sleep(FULL_S)
        for _ in range(SERIES):
            for adapter in _operator.BUSIEST:
                await self.operator.name_version(adapter)
                await asyncio.sleep(SERIES_PAUSE_S)

    async def _narrow(self, name: str) -> None:
        proxy = self.world.proxies[f'{name} store']
        if proxy.mode is not _proxy.Mode.OPEN:
            return
        proxy.switch(_proxy.Mode.NARROW)
        await self.during('narrow', f'{name} rate', NARROW_S)
        if proxy.mode is _proxy.Mode.NARROW:
            proxy.switch(_proxy.Mode.OPEN)

    async def limit(self) -> None:
        await self.operator.change_limit()

    async def version(self) -> None:
        await self.operator.name_version()

    async def nonsense(self) -> None:
        await self.operator.write_nonsense()
