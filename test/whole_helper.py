"""A whole deployment in one event loop, on free ports.

Only the outside systems are stand-ins; gateways, sidecars, links and the
configuration on the log are what runs in production.
"""

import asyncio
import dataclasses
import itertools
import json

import aiohttp

from berylhollow import gateway
from berylhollow.gateway import _shell as gateway_shell
from berylhollow.gateway import service as gateway_service
from berylhollow import log_service
from berylhollow import manifest
from berylhollow import publishing
from berylhollow import settings
from berylhollow import sidecar
from berylhollow.sidecar import _shell as sidecar_shell
from berylhollow.sidecar import service as sidecar_service
from test import standin_helper

ENGINE_SERVICE = 'assistant'
PLAIN_SERVICE = 'register'
ADAPTERS = 12
PUBLISH_TIMEOUT_MS = 60_000
POLL_S = 0.002
HANG_S = 60
NO_LIMIT = aiohttp.ClientTimeout(total=None, sock_connect=None)


def ignore(*counted):
    """Take metrics that no test reads."""


@dataclasses.dataclass(frozen=True)
class Answer:
    """An answer as its caller saw it; ``broken`` if it ended early."""

    status: int
    text: str
    broken: bool = False


@dataclasses.dataclass(frozen=True)
class Member:
    """A running gateway or sidecar and the base URL that its tests use."""

    shell: gateway_shell.Shell | sidecar_shell.Shell
    url: str


class WholeTestCase(standin_helper.StandInTestCase):
    """Gateways, engines and plain services, each endpoint with a sidecar."""

    async def begin(self, gateways=2, engines=2, plain=1):
        self.numbers = itertools.count()
        self.platform_url = await self.serve_platform()
        self.instances = self.closing(
            log_service.InstanceClient(self.platform_url)
        )
        self.session = aiohttp.ClientSession()
        self.closing(self.session)
        self.engines = [await self.add_engine() for _ in range(engines)]
        self.plain = [await self.add_plain() for _ in range(plain)]
        self.gateways = [await self.add_gateway() for _ in range(gateways)]
        await self.publish()
        for member in self.gateways:
            await self.until_serving(member)

    async def add_engine(self) -> Member:
        name = f'engine-{next(self.numbers)}'
        url = await self.serve_engine(
            self.platform_url, instance=f'{name}-stand-in'
        )
        return await self.add_sidecar(name, ENGINE_SERVICE, url, 'engine')

    async def add_plain(self) -> Member:
        name = f'plain-{next(self.numbers)}'
        url = await self.serve_service(instance=f'{name}-stand-in')
        return await self.add_sidecar(name, PLAIN_SERVICE, url, 'plain')

    async def add_sidecar(self, name, service, url, kind) -> Member:
        options = settings.parse(
            {
                **self.common(name),
                'service': service,
                'endpoint': {
                    'url': url,
                    'kind': kind,
                    'checks_fencing': kind == 'engine',
                },
                'status_poll_ms': 20,
            },
            settings.Role.SIDECAR,
        )
        state = sidecar_service.make_state(
            options, sidecar_service.make_follower(options)
        )
        shell = sidecar_shell.Shell(options, sidecar.reduce, state, ignore)
        await shell.start()
        self.stack.push_async_callback(self.close, shell)
        await self.register(name, 'endpoint', service, shell.links.server.port)
        return Member(shell, url)

    async def add_gateway(self) -> Member:
        name = f'gateway-{next(self.numbers)}'
        options = settings.parse(
            {
                **self.common(name),
                'peers': {'port': 0},
                'instance_poll_ms': 20,
            },
            settings.Role.GATEWAY,
        )
        state = gateway_service.make_state(
            options, gateway_service.make_follower(options)
        )
        shell = gateway_shell.Shell(
            options, gateway.reduce, state, ignore, bytes
        )
        await shell.start()
        self.stack.push_async_callback(self.close, shell)
        await self.register(name, 'gateway', '', shell.links.server.port)
        return Member(shell, f'http://127.0.0.1:{shell.front_end.port}')

    def common(self, name):
        return {
            **standin_helper.COMMON,
            'instance': name,
            'platform': {'url': self.platform_url},
            'listen': {'port': 0},
            'tick_ms': 5,
        }

    async def close(self, shell):
        if not shell.ended.done():
            await shell.close()

    async def register(self, name, role, service, port):
        await self.instances.put(
            log_service.Instance(
                name,
                log_service.Role(role),
                service,
                standin_helper.COMMON['failure_domain'],
                'local',
                f'127.0.0.1:{port}',
            )
        )

    async def publish(self):
        wanted = manifest.parse(json.dumps(manifest_value()))
        log = self.closing(log_service.LogClient(self.platform_url))
        publisher = publishing.Publisher(
            publishing.Session(log), PUBLISH_TIMEOUT_MS
        )
        plan = await publisher.plan(wanted, None)
        await publisher.publish(plan, wanted, 'test')

    async def until_serving(self, member):
        """Wait until a gateway is configured and linked to every endpoint."""
        state = member.shell.driver.state
        wanted = len(self.engines) + len(self.plain)

        def serving():
            linked = set(member.shell.links.open_links) & set(state.endpoints)
            configured = state.follower.current is not None
            return configured and len(linked) == wanted

        await self.until(serving)

    async def chat(self, member, adapter, text, max_tokens=8, **headers):
        """Return the answer to one streamed request."""
        body = {
            'model': adapter,
            'stream': True,
            'max_tokens': max_tokens,
            'messages': [{'role': 'user', 'content': text}],
        }
        return await self.call(
            'POST', f'{member.url}/v1/chat/completions', headers, json=body
        )

    async def order(self, member, path, method='POST', **headers):
        """Return the answer of the plain service."""
        url = f'{member.url}/v1/services/{PLAIN_SERVICE}/{path}'
        return await self.call(method, url, headers, json={'order': path})

    async def call(self, method, url, headers, **options):
        named = {key.replace('_', '-'): str(x) for key, x in headers.items()}
        async with self.session.request(
            method, url, headers=named, **options
        ) as response:
            text = b''
            try:
                async for chunk in response.content.iter_any():
                    text += chunk
            except aiohttp.ClientError:
                return Answer(response.status, text.decode(), broken=True)
            return Answer(response.status, text.decode())

    async def fault(self, url, fault, for_ms=60_000):
        value = {'fault': fault, 'for_ms': for_ms}
        await self.control('POST', f'{url}/faults', json=value)

    async def runs(self, member, path='/engine/runs'):
        """Return an endpoint's own record of what it ran."""
        return (await self.control('GET', member.url + path))['runs']

    async def control(self, method, url, **options):
        """Send a call to a stand-in and return its answer.

        The product's client gives up to connect after a second, and the event
        loop may stand still for longer on a busy machine.
        """
        async with (
            asyncio.timeout(HANG_S),
            self.session.request(
                method, url, timeout=NO_LIMIT, **options
            ) as response,
        ):
            response.raise_for_status()
            body = await response.read()
            return json.loads(body) if body else {}

    async def order_runs(self):
        """Return the records of all plain services."""
        return [
            run
            for member in self.plain
            for run in await self.runs(member, '/stand-in/runs')
        ]

    async def until(self, condition):
        """Wait for a condition; a hang becomes a failure."""
        async with asyncio.timeout(HANG_S):
            while not condition():
                await asyncio.sleep(POLL_S)


def manifest_value() -> dict:
    """Return a manifest of both services and of small adapters."""
    return {
        'services': [
            {'name': ENGINE_SERVICE, 'kind': 'engine', 'base_model': 'base'},
            {'name': PLAIN_SERVICE, 'kind': 'plain'},
        ],
        'adapters': [
            {
                'name': f'a{number}',
                'service': ENGINE_SERVICE,
                'versions': [{'version': '1'}, {'version': '2'}],
            }
            for number in range(ADAPTERS)
        ],
    }
