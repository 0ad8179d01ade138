"""The processes of a deployment on loopback addresses, and what they say."""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import sys
import time

import aiohttp

from berylhollow import platform
from tools.capacity import processes
from tools.soak import _proxy

ROOT = pathlib.Path(__file__).parent.parent.parent
START_S = 30
MODEL_SERVICE = 'models'
PLAIN_SERVICE = 'plain'
HEARTBEAT_MS = 1200
DRAIN_MS = 2000
CONTACT_MS = 3000
REVOKE_MS = 5000
CONFIGURATION_MS = 3000
QUOTA_WINDOW_S = 8
QUOTA_OVERRUN = 0.1
QUOTA_SLACK = 5000
GRACE_S = 8
HOSTS = 250
"""In a subnet of the loopback network."""

NODE_FILE = """
Node = "{name}"
Zone = "z1"
Region = "r1"
Ip = "{host}"
PortRange = [{link_port}, {metrics_port}]
HeartbeatMs = {heartbeat_ms}
app = "{endpoint}"
Service = "{service}"
[Listen]
Front = "{host}:{callers_port}"
Ready = "{host}:{ready_port}"
[Bounds]
GraceS = {grace_s}
DrainMs = {drain_ms}
ContactMs = {contact_ms}
RetryRatio = 0.2
RetrySlack = 54
BudgetWindowS = 10
StrictRevoke = true
RevokeMs = {revoke_ms}
ConfigApplyMs = {configuration_ms}
QuotaWindowS = {quota_window_s}
QuotaOverrun = {quota_overrun}
QuotaSlack = {quota_slack}
[Platform]
Address = "{store}"
"""


@dataclasses.dataclass(frozen=True)
class Builds:
    """Which checkout each program is started from.

    ``other`` is a second checkout, ``roles`` are the programs that run from
    it. With ``only_first`` a program that is started again runs from this one,
    as in a roll.
    """

    other: pathlib.Path = ROOT
    roles: frozenset[str] = frozenset()
    only_first: bool = False

    def root(self, role: str, is_first: bool) -> pathlib.Path:
        """Return the checkout from which a program is started now."""
        from_other = role in self.roles and (is_first or not self.only_first)
        return self.other if from_other else ROOT


class Process:
    """A program that runs until it is ended; its lines are kept."""

    def __init__(
        self,
        name: str,
        arguments: list[str],
        env: dict[str, str],
        root: pathlib.Path = ROOT,
    ):
        self.name = name
        self.arguments = arguments
        self.env = env
        self.root = root
        self.lines: list[dict] = []
        self.process: asyncio.subprocess.Process | None = None
        self.reader: asyncio.Task | None = None

    async def start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self.arguments,
            cwd=self.root,
            env=os.environ | self.env,
            stdout=asyncio.subprocess.PIPE,
            limit=2**20,
        )
        self.reader = asyncio.create_task(self._read(self.process.stdout))

    async def listens(self) -> None:
        """Return when it listens; it must not end instead."""
        await self.says('listening')

    async def says(self, word: str) -> None:
        """Return when it has said a word; it must not end instead."""
        async with asyncio.timeout(START_S):
            while not any(word in str(line) for line in self.lines):
                if self.process.returncode is not None:
                    raise RuntimeError(f'{self.name} ended at its start')
                await asyncio.sleep(0.02)

    async def _read(self, stream: asyncio.StreamReader) -> None:
        async for line in stream:
            self.lines.append(json.loads(line))

    def signal(self, number: int) -> None:
        """Send a signal, if the process still runs."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def ended(self) -> int:
        code = await self.process.wait()
        await self.reader
        return code

    async def end(self) -> None:
        if self.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
        await self.ended()


class World:
    """A store, endpoints with their sidecars, gateways, and proxies.

    Each instance has a loopback address of its own. Gateways reach the store
    each through a proxy, and endpoints and sidecars through the address that
    the endpoint lists, which is a proxy's. With ``direct`` endpoints list
    their own address. With ``releases`` endpoints are of two software
    versions by turns, and each start has the other one unless
    ``keeps_software`` is set. The addresses are in a network of this soak's
    own: soaks that are played at once may draw the same ports.

    ``streaming`` are the endpoints of which streams come: plain ones, or those
    with models if there are no others.
    """

    def __init__(
        self,
        folder: str,
        gateways: int,
        models: int,
        plain: int,
        builds: Builds = Builds(),
        releases: bool = False,
        keeps_software: bool = False,
        direct: bool = False,
    ):
        self.folder = pathlib.Path(folder)
        self.builds = builds
        self.releases = releases
        self.keeps_software = keeps_software
        self.direct = direct
        self.next_starts: dict[str, Process] = {}
        self.software: dict[str, list[tuple[float, str]]] = {}
        self.network = 1 + os.getpid() % 250
        self.link_port, self.metrics_port, *rest = sorted(
            processes.free_ports(7)
        )
        self.callers_port, self.ready_port, self.endpoint_port = rest[:3]
        self.store_port, self.control_port = rest[3:5]
        self.gateways = [f'g{number}' for number in range(gateways)]
        self.models = [f'm{number}' for number in range(models)]
        self.plain = [f'p{number}' for number in range(plain)]
        self.streaming = self.plain or self.models
        self.processes: dict[str, Process] = {}
        self.proxies: dict[str, _proxy.Proxy] = {}
        self.ended: list[Process] = []
        self.hosts: dict[str, str] = {}
        self.session: aiohttp.ClientSession | None = None

    @property
    def store(self) -> str:
        return f'{self.host("store")}:{self.store_port}'

    async def start(self) -> None:
        self.session = aiohttp.ClientSession()
        await self._begin('store', 'tools.soak._standins', 'store', self.store)
        for name in (*self.models, *self.plain):
            await self.start_endpoint(name)
        for name in self.models:
            await self.start_sidecar(name)
        for name in self.gateways:
            await self.start_gateway(name)

    def host(self, name: str) -> str:
        """Return the address of an instance, given on first use."""
        if name not in self.hosts:
            subnet, number = divmod(len(self.hosts), HOSTS)
            self.hosts[name] = f'127.{self.network}.{subnet}.{number + 1}'
        return self.hosts[name]

    async def start_endpoint(self, name: str) -> None:
        """Start an endpoint, at its old address and name if it had one."""
        host, shown = self.host(name), self._shown(name)
        process = self._endpoint(name, self._next_software(name))
        await process.start()
        self.processes[name] = process
        await process.listens()
        # A proxy that listens earlier accepts for an endpoint that doesn't.
        if shown != host:
            await self._proxy(name, shown, self.endpoint_port, host)
            if name in self.models:
                await self._proxy(f'{name} link', shown, self.link_port, host)

    def _shown(self, name: str) -> str:
        """Return the address that an endpoint lists."""
        return self.host(name if self.direct else f'{name} proxy')

    def _endpoint(self, name: str, software: str) -> Process:
        service = MODEL_SERVICE if name in self.models else PLAIN_SERVICE
        arguments = (
            'endpoint',
            f'{self.host(name)}:{self.endpoint_port}',
            f'i-{name}',
            f'{self._shown(name)}:{self.endpoint_port}',
            service,
            self.store,
            software,
        )
        return Process(name, ['-m', 'tools.soak._standins', *arguments], {})

    async def restart_in_place(self, name: str, software: str) -> float:
        """Kill an endpoint whose next start waits for its port; return when.

        ``software`` is the version of the next start.
        """
        next_start = self._endpoint(name, software)
        await next_start.start()
        self.next_starts[name] = next_start
        await next_start.says('waiting')
        killed = self.processes[name]
        killed.signal(signal.SIGKILL)
        at = time.monotonic()
        self.software[name].append((at, software))
        await killed.ended()
        self.ended.append(killed)
        self.processes[name] = self.next_starts.pop(name)
        await next_start.listens()
        return at

    def _next_software(self, name: str) -> str:
        """Return the version of an endpoint's next start.

        With releases, endpoints begin with one of two by turns.
        """
        starts = self.software.setdefault(name, [])
        number = 0 if self.keeps_software else len(starts)
        if name in self.streaming:
            number += self.streaming.index(name)
        version = f'v{1 + number % 2}' if self.releases else 'v1'
        if self.keeps_software and starts:
            version = starts[-1][1]
        starts.append((time.monotonic(), version))
        return version

    def software_at(self, name: str, at: float) -> str:
        """Return the version that an endpoint had, '' before its start."""
        versions = [
            v for since, v in self.software.get(name, ()) if since < at
        ]
        return versions[-1] if versions else ''

    async def start_sidecar(self, name: str) -> None:
        await self._begin_program(
            'sidecar',
            f's{name}',
            self.host(name),
            self._shown(name),
            self.store,
        )

    async def start_gateway(self, name: str) -> None:
        shown = self.host(f'{name} store')
        store = self.host('store')
        await self._proxy(f'{name} store', shown, self.store_port, store)
        await self._begin_program(
            'gateway',
            name,
            self.host(name),
            '127.0.0.1',
            f'{shown}:{self.store_port}',
        )

    async def _proxy(
        self, name: str, host: str, port: int, target: str
    ) -> None:
        if name not in self.proxies:
            self.proxies[name] = _proxy.Proxy(host, port, (target, port))
        if not self.proxies[name].is_listening:
            await self.proxies[name].start()

    async def _begin_program(
        self, role: str, name: str, host: str, shown: str, store: str
    ) -> None:
        path = self.folder / f'{name}.toml'
        path.write_text(
            NODE_FILE.format(
                name=name,
                host=host,
                link_port=self.link_port,
                metrics_port=self.metrics_port,
                heartbeat_ms=HEARTBEAT_MS,
                endpoint=f'{shown}:{self.endpoint_port}',
                service=MODEL_SERVICE,
                callers_port=self.callers_port,
                ready_port=self.ready_port,
                grace_s=GRACE_S,
                drain_ms=DRAIN_MS,
                contact_ms=CONTACT_MS,
                revoke_ms=REVOKE_MS,
                configuration_ms=CONFIGURATION_MS,
                quota_window_s=QUOTA_WINDOW_S,
                quota_overrun=QUOTA_OVERRUN,
                quota_slack=QUOTA_SLACK,
                store=store,
            ),
            encoding='utf-8',
        )
        is_first = all(process.name != name for process in self.ended)
        root = self.builds.root(role, is_first)
        await self._begin(
            name, 'berylhollow', role, '--on-platform', root=root
        )

    async def _begin(
        self,
        name: str,
        module: str,
        *arguments: str,
        root: pathlib.Path = ROOT,
    ) -> None:
        path = str(self.folder / f'{name}.toml')
        process = Process(
            name,
            ['-m', module, *arguments],
            {platform.NODE_FILE_VARIABLE: path},
            root,
        )
        await process.start()
        self.processes[name] = process
        await process.listens()

    async def control(self, what: str, **given) -> float | None:
        """Switch the store; return when it had, None if it refused."""
        url = f'http://{self.store}/control/{what}'
        async with self.session.post(url, json=given) as response:
            if response.status != 200:
                return None
            return (await response.json())['at']

    async def put(self, key: str, value: dict | bytes) -> float | None:
        """Publish as an operator; return when it was confirmed."""
        data = value
        if not isinstance(value, bytes):
            data = json.dumps(value).encode()
        return await self.control(
            'put',
            topic=platform.CONFIGURATION_STREAM,
            key=key,
            value=base64.b64encode(data).decode(),
        )

    async def leave(self, name: str) -> float:
        """Have an endpoint list that it leaves; return when it was taken."""
        return await self._tell(name, 'leave', {})

    async def notices(self, name: str, **faults) -> float:
        """Have an endpoint say something in its answers; return when."""
        return await self._tell(name, 'notices', faults)

    async def _tell(self, name: str, what: str, given: dict) -> float:
        url = f'http://{self.host(name)}:{self.endpoint_port}/control/{what}'
        async with self.session.post(url, json=given) as response:
            return (await response.json())['at']

    async def ready(self, name: str) -> bool:
        """Ask a gateway as the balancer does."""
        url = f'http://{self.host(name)}:{self.ready_port}'
        timeout = aiohttp.ClientTimeout(total=1)
        try:
            async with self.session.get(
                f'{url}{platform.READINESS_PATH}', timeout=timeout
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def metrics(self, name: str) -> str:
        """Return the metrics page of a sidecar, '' if it does not answer."""
        url = f'http://{self.host(name)}:{self.metrics_port}/metrics'
        timeout = aiohttp.ClientTimeout(total=2)
        try:
            async with self.session.get(url, timeout=timeout) as response:
                return await response.text()
        except (aiohttp.ClientError, TimeoutError):
            return ''

    async def replace(self, name: str) -> None:
        """Keep the lines of a process that has ended."""
        process = self.processes.pop(name)
        if name in (*self.models, *self.plain) and name in self.proxies:
            self.proxies[name].stop_listening()
        await process.end()
        self.ended.append(process)

    def runs(self) -> list[dict]:
        """Return what all endpoints have said that they ran."""
        return self._lines('ran')

    def arrivals(self) -> list[dict]:
        """Return what endpoints have got, whether they ran it or not."""
        return self._lines('got')

    def crashes(self) -> list[dict]:
        """Return the crashes of which endpoints have told."""
        return self._lines('crashed')

    def _lines(self, word: str) -> list[dict]:
        everything = [*self.processes.values(), *self.ended]
        return [
            line
            for process in everything
            for line in process.lines
            if word in line
        ]

    def logs(self) -> None:
        """Write what each program said into the folder."""
        for process in (*self.ended, *self.processes.values()):
            path = self.folder / f'{process.name}.log'
            with path.open('a', encoding='utf-8') as file:
                for line in process.lines:
                    file.write(json.dumps(line) + '\n')

    async def close(self) -> None:
        for process in (*self.processes.values(), *self.next_starts.values()):
            await process.end()
        for proxy in self.proxies.values():
            await proxy.close()
        await self.session.close()
