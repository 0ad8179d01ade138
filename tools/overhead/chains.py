"""The chains of processes that are measured: ours, the bare one, none."""

import asyncio
import dataclasses

from berylhollow import configuration
from berylhollow import log_service
from berylhollow import manifest
from tools.capacity import control
from tools.capacity import processes

URL = 'http://127.0.0.1:{}'
SERVICE = 'modelos'
READY_S = 30.0
IN_FLIGHT = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Chain:
    """Where callers connect, and the processes whose cost counts."""

    name: str
    port: int
    hops: tuple[processes.Process, ...]

    def processor_s(self) -> float:
        return sum(hop.processor_s() for hop in self.hops)


class Chains:
    """All processes of one measurement, with one engine behind them."""

    def __init__(self, folder: str, pace_ms: float):
        self.folder = folder
        self.pace_ms = pace_ms
        self.started: list[processes.Process] = []

    async def start(self) -> list[Chain]:
        """Return the chains: straight to the engine, bare, and ours."""
        ports = processes.free_ports(7)
        engine, near, far, *own = ports
        await self._module('engine', engine, str(self.pace_ms))
        second = await self._module('passthrough', far, str(engine))
        first = await self._module('passthrough', near, str(far))
        gateway, sidecar = await self._ours(engine, own)
        return [
            Chain('direct', engine, ()),
            Chain('bare', near, (first, second)),
            Chain('ours', gateway.port, (gateway, sidecar)),
        ]

    async def _module(self, name, port, argument) -> processes.Process:
        process = processes.Process(
            name, port, '-m', f'tools.overhead.{name}', str(port), argument
        )
        return await self._listening(process)

    async def _ours(self, engine: int, ports: list[int]):
        platform_port, sidecar_port, gateway_port, peers_port = ports
        url = URL.format(platform_port)
        await self._program(
            'platform', platform_port, ('stand-in', 'platform'), {}
        )
        await self._declare(url)
        linked = {'platform': {'url': url}}
        sidecar = await self._program(
            'e-1',
            sidecar_port,
            ('sidecar',),
            linked
            | {
                'service': SERVICE,
                'endpoint': {
                    'url': URL.format(engine),
                    'concurrency': IN_FLIGHT,
                },
                'queue_limit': IN_FLIGHT,
                'status': {'port': 0},
            },
        )
        await control.register(
            url, 'e-1', log_service.Role.ENDPOINT, sidecar_port
        )
        gateway = await self._program(
            'g-1',
            gateway_port,
            ('gateway',),
            linked
            | {
                'peers': {'port': peers_port},
                'limits': {
                    'caller_in_flight': IN_FLIGHT,
                    'caller_rate_per_s': 1e6,
                },
            },
        )
        return gateway, sidecar

    async def _program(self, name, port, command, values):
        checked = processes.common(name, listen={'port': port}) | values
        return await self._listening(
            processes.program(name, port, command, self.folder, checked)
        )

    async def _listening(self, process) -> processes.Process:
        self.started.append(process)
        await process.listening()
        return process

    async def _declare(self, url: str) -> None:
        """Declare the one adapter that the callers name."""
        declared = manifest.Manifest(
            (manifest.Service(SERVICE, base_model='base'),),
            (manifest.Adapter('a1', SERVICE, 0, (manifest.Version('1'),)),),
        )
        change = configuration.Change(0, 'operator', 'first', whole=declared)
        log = log_service.LogClient(url)
        try:
            data = configuration.encode_change(change)
            await log.append('configuration', data)
        finally:
            await log.close()

    def stop(self) -> None:
        for process in reversed(self.started):
            process.stop()


async def ready(chain: Chain, send) -> None:
    """Call until the chain answers; raises TimeoutError after a while."""
    async with asyncio.timeout(READY_S):
        while True:
            try:
                return await send(chain)
            except (RuntimeError, OSError):
                await asyncio.sleep(0.2)
