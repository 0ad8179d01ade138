"""What control costs running processes: memory, processor time, traffic.

A gateway, a sidecar and the stand-in platform run as processes, with other
sidecars in a helper process. All that the gateway and the sidecar exchange
with anybody passes taps that count bytes (payload of TCP, both ways).
"""

import asyncio
import tempfile

from berylhollow import configuration
from berylhollow import log_service
from tools.capacity import figures
from tools.capacity import processes
from tools.capacity import samples

SECONDS = 60.0
SETTLE_S = 15.0
ADAPTERS = 3000
SIZES = (10, 100)
GATEWAYS = 3
URL = 'http://127.0.0.1:{}'


class Deployment:
    """A platform, gateways and sidecars, with taps between them.

    ``platform_taps`` are those of the watched gateway and sidecar.
    """

    def __init__(self, folder: str, endpoints: int, busy: bool):
        self.folder = folder
        self.endpoints = endpoints
        self.busy = busy
        self.started: list[processes.Process] = []
        self.sidecar_taps: list[processes.Tap] = []
        self.peer_taps: list[processes.Tap] = []
        self.platform_taps: list[processes.Tap] = []

    async def start(self) -> None:
        platform_port, engine_port = processes.free_ports(2)
        url = URL.format(platform_port)
        await self.run('platform', platform_port, ('stand-in', 'platform'))
        engine = {'platform': {'url': url}}
        await self.run('engine', engine_port, ('stand-in', 'engine'), engine)
        await publish(url, ADAPTERS)
        self.platform_taps = [await _tap(platform_port) for _ in range(2)]
        gateway_url, sidecar_url = (
            URL.format(tap.port) for tap in self.platform_taps
        )
        await self.start_sidecars(url, sidecar_url, engine_port)
        self.gateway = await self.start_gateway(0, url, gateway_url)
        for number in range(1, GATEWAYS):
            await self.start_gateway(number, url, url)

    async def run(self, name, port, command, more=None) -> processes.Process:
        """Start a command that listens on ``port``."""
        values = {'listen': {'port': port}} | (more or {})
        process = processes.program(
            name, port, command, self.folder, processes.common(name, **values)
        )
        self.started.append(process)
        await process.listening()
        return process

    async def start_sidecars(self, url, sidecar_url, engine_port) -> None:
        ports = processes.free_ports(self.endpoints)
        helper = processes.Process(
            'sidecars',
            ports[0],
            *('-m', 'tools.capacity.sidecars', str(int(self.busy))),
            *map(str, ports[:-1]),
        )
        self.started.append(helper)
        await helper.listening()
        values = {
            'platform': {'url': sidecar_url},
            'service': samples.SERVICE,
            'endpoint': {'url': URL.format(engine_port)},
            'status': {'port': 0},
        }
        self.sidecar = await self.run(
            'e-real', ports[-1], ('sidecar',), values
        )
        for number, port in enumerate(ports):
            tap = await _tap(port)
            self.sidecar_taps.append(tap)
            row = samples.instance(number).instance
            name = 'e-real' if port == ports[-1] else row
            await register(url, name, log_service.Role.ENDPOINT, tap.port)

    async def start_gateway(self, number, url, own_url) -> processes.Process:
        port, peer_port = processes.free_ports(2)
        name = f'g-{number + 1}'
        values = {
            'platform': {'url': own_url},
            'peers': {'port': peer_port},
        }
        process = await self.run(name, port, ('gateway',), values)
        tap = await _tap(peer_port)
        self.peer_taps.append(tap)
        await register(url, name, log_service.Role.GATEWAY, tap.port)
        return process

    def stop(self) -> None:
        for process in reversed(self.started):
            process.stop()

    def gateway_bytes(self) -> float:
        """Return what a gateway exchanged: the mean, for all are alike.

        A link between gateways counts at both of its ends.
        """
        sidecars = sum(tap.bytes for tap in self.sidecar_taps)
        peers = sum(tap.bytes for tap in self.peer_taps)
        own = self.platform_taps[0].bytes
        return (sidecars + 2 * peers) / GATEWAYS + own

    def sidecar_bytes(self) -> float:
        """Return what the watched sidecar exchanged, its engine apart."""
        return self.sidecar_taps[-1].bytes + self.platform_taps[1].bytes


async def _tap(port: int) -> processes.Tap:
    tap = processes.Tap(port)
    await tap.start()
    return tap


def measure() -> list[figures.Value]:
    """Return the cost of control, idle and while reports change."""
    found = []
    for size in SIZES:
        found += asyncio.run(_measure(size, False))
    found += asyncio.run(_measure(SIZES[-1], True))
    return found


async def _measure(endpoints: int, busy: bool) -> list[figures.Value]:
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(folder, endpoints, busy)
        try:
            await deployment.start()
            await asyncio.sleep(SETTLE_S)
            return await _watch(deployment)
        finally:
            deployment.stop()


async def _watch(deployment: Deployment) -> list[figures.Value]:
    at = f'{deployment.endpoints}{"_busy" if deployment.busy else ""}'
    how = (
        f'{deployment.endpoints} endpoints, {ADAPTERS:,} adapters, '
        f'{GATEWAYS} gateways, '
        + ('reports change all the time' if deployment.busy else 'idle')
    )
    watched = (
        ('gateway', deployment.gateway, deployment.gateway_bytes),
        ('sidecar', deployment.sidecar, deployment.sidecar_bytes),
    )
    before = [
        (process.processor_s(), passed()) for _, process, passed in watched
    ]
    await asyncio.sleep(SECONDS)
    found = []
    for (role, process, passed), (cpu, sent) in zip(
        watched, before, strict=True
    ):
        share = 100 * (process.processor_s() - cpu) / SECONDS
        rate = (passed() - sent) / SECONDS
        for what, unit, value in (
            ('resident', 'KiB', process.resident_kib()),
            ('processor', '% of a core', share),
            ('traffic', 'bytes/s', rate),
        ):
            name = f'control.{role}.{what}.{at}'
            found.append(figures.Value(name, unit, value, how))
    return found


async def publish(url: str, adapters: int) -> None:
    """Put a manifest with so many adapters on the log."""
    change = configuration.Change(
        0, 'operator', 'first', whole=samples.declared(adapters)
    )
    log = log_service.LogClient(url)
    try:
        data = configuration.encode_change(change)
        await log.append('configuration', data)
    finally:
        await log.close()


async def register(
    url: str, name: str, role: log_service.Role, port: int
) -> None:
    """Put an instance on the platform's list."""
    service = samples.SERVICE if role is log_service.Role.ENDPOINT else ''
    client = log_service.InstanceClient(url)
    try:
        await client.put(
            log_service.Instance(
                name,
                role,
                service,
                'sul-a',
                'sul',
                f'{processes.HOST}:{port}',
            )
        )
    finally:
        await client.close()
