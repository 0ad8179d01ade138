"""How long a change takes to reach every process of a deployment.

Gateways and sidecars run as processes over the stand-in platform, a fifth of
them gateways. Changes of one adapter are appended to the log one after
another; each process is asked for its revision until it has the new one.
"""

import asyncio
import tempfile
import time

import aiohttp

from berylhollow import configuration
from berylhollow import log_service
from berylhollow import manifest
from tools.capacity import control
from tools.capacity import figures
from tools.capacity import fits
from tools.capacity import processes
from tools.capacity import samples

SIZES = (10, 50, 200)
GATEWAY_SHARE = 0.2
ADAPTERS = 3000
CHANGES = 5
READY_S = 180.0
ASK_PAUSE_S = 0.02
ASKED_AT_ONCE = 24
MILLISECONDS = 1000
STARTED_AT_ONCE = 10


class Fleet:
    """Processes with the ports of their status pages."""

    def __init__(self, folder: str):
        self.folder = folder
        self.started: list[processes.Process] = []
        self.pages: list[int] = []
        self.asking = asyncio.Semaphore(ASKED_AT_ONCE)

    async def start(self, size: int) -> None:
        """Start so many gateways and sidecars, over one platform."""
        gateways = max(2, round(size * GATEWAY_SHARE))
        (platform_port,) = processes.free_ports(1)
        self.url = f'http://{processes.HOST}:{platform_port}'
        await self._run('platform', platform_port, ('stand-in', 'platform'))
        await control.publish(self.url, ADAPTERS)
        linked = {'platform': {'url': self.url}}
        ports = iter(processes.free_ports(2 * size))
        jobs = []
        for number in range(size):
            job = self._gateway if number < gateways else self._sidecar
            jobs.append(job(number, next(ports), next(ports), linked))
        for first in range(0, len(jobs), STARTED_AT_ONCE):
            await asyncio.gather(*jobs[first : first + STARTED_AT_ONCE])

    async def _gateway(self, number, port, peer_port, linked) -> None:
        name = f'g-{number}'
        self.pages.append(port)
        role = log_service.Role.GATEWAY
        await control.register(self.url, name, role, peer_port)
        values = linked | {'peers': {'port': peer_port}}
        await self._run(name, port, ('gateway',), values)

    async def _sidecar(self, number, port, page_port, linked) -> None:
        name = f'e-{number}'
        self.pages.append(page_port)
        role = log_service.Role.ENDPOINT
        await control.register(self.url, name, role, port)
        values = linked | {
            'service': samples.SERVICE,
            'endpoint': {'url': 'http://127.0.0.1:9', 'kind': 'plain'},
            'status': {'port': page_port},
        }
        await self._run(name, port, ('sidecar',), values)

    async def _run(self, name, port, command, more=None) -> None:
        values = {'listen': {'port': port}} | (more or {})
        process = processes.program(
            name, port, command, self.folder, processes.common(name, **values)
        )
        self.started.append(process)
        await process.listening()

    async def times_ms(self, revision: int, since: float) -> list[float]:
        """Return when each process had a revision, after ``since``."""
        async with aiohttp.ClientSession() as session:
            return await asyncio.gather(
                *(
                    self._time_ms(session, port, revision, since)
                    for port in self.pages
                )
            )

    async def _time_ms(self, session, port, revision, since) -> float:
        while await self._revision(session, port) < revision:
            if time.monotonic() - since > READY_S:
                raise TimeoutError(f'revision {revision} never came')
            await asyncio.sleep(ASK_PAUSE_S)
        return (time.monotonic() - since) * MILLISECONDS

    async def _revision(self, session, port: int) -> int:
        url = f'http://{processes.HOST}:{port}/status'
        async with self.asking, session.get(url) as answer:
            value = await answer.json()
        return value['configuration']['revision']

    def stop(self) -> None:
        for process in self.started:
            process.child.terminate()
        for process in self.started:
            process.stop()


def measure() -> list[figures.Slope | figures.Value]:
    """Return the time of a change by the number of processes."""
    middle = []
    last = []
    found: list[figures.Slope | figures.Value] = []
    for size in SIZES:
        taken = asyncio.run(_measure(size))
        half = sorted(taken)[len(taken) // 2]
        middle.append(fits.Point(size, half))
        last.append(fits.Point(size, max(taken)))
        how = f'{size} processes, {CHANGES} changes'
        found.append(
            figures.Value(f'spread.last.{size}', 'ms', max(taken), how)
        )
    how = 'appended to the log until a process has it: the median one'
    found.append(figures.slope('spread.median', 'ms', 'process', how, middle))
    how = 'appended to the log until the last process has it'
    found.append(figures.slope('spread.last', 'ms', 'process', how, last))
    return found


async def _measure(size: int) -> list[float]:
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder)
        try:
            await fleet.start(size)
            await fleet.times_ms(1, time.monotonic())
            taken = []
            for number in range(CHANGES):
                await asyncio.sleep(1)
                taken += await _change(fleet, number + 1)
            return taken
        finally:
            fleet.stop()


async def _change(fleet: Fleet, base: int) -> list[float]:
    version = (manifest.Version(str(base)),)
    name = samples.adapter_name(0)
    changed = manifest.Adapter(name, samples.SERVICE, 0, version)
    change = configuration.Change(
        base, 'operator', f'change-{base}', (configuration.Put(changed),)
    )
    log = log_service.LogClient(fleet.url)
    try:
        since = time.monotonic()
        data = configuration.encode_change(change)
        offset = await log.append('configuration', data)
    finally:
        await log.close()
    return await fleet.times_ms(offset + 1, since)
