"""The operator: what it publishes, and when that was confirmed."""

import asyncio
import contextlib
import dataclasses
import itertools
import random
import time

import aiohttp

from tools.soak import _standins
from tools.soak import _streams
from tools.soak import _world

MODEL = 'base'
ADAPTERS = 6
BUSIEST = ('a0', 'a1')
"""Adapters that a crowd asks for."""

RETRY_S = 0.2
WORKSPACE = 'w1'
LIMITED = 'w2'
LIMITED_KEY = 'key-of-w2'
UNKNOWN_KEY = 'key-of-nobody'
PLAIN_TOKENS = 200
MODEL_TOKENS = 400
LARGE_ROUTES = 2000
FLOODING = 'w3'
FLOODING_KEY = 'key-of-w3'
FLOODING_WORKSPACE = {'Name': FLOODING, 'ApiKeys': [FLOODING_KEY]}
EVENT_GAP_MS = 400
TOKENS_PER_EVENT = 4
"""Of paced models: 100 ms for each step, at which admission is in force."""


@dataclasses.dataclass(frozen=True)
class Confirmed:
    """A change, when the store had confirmed it and when it was begun."""

    what: str
    value: object
    at: float
    begun: float = 0.0


class Operator:
    """Publishes configurations, one after the other.

    ``key`` is the one that is in force, ``taken_away`` those that were, with
    the time at which their removal was confirmed. ``declared`` has each route
    by its prefix, which keeps its kind in all configurations. If ``paced`` is
    set, prompts to models need an admission; ``streams`` declares a route
    whose streams may be resumed.
    """

    def __init__(
        self,
        world: _world.World,
        chance: random.Random,
        paced: bool = False,
        streams: bool = False,
        stream_service: str = _world.PLAIN_SERVICE,
    ):
        self.world = world
        self.chance = chance
        self.paced = paced
        self.streams = streams
        self.stream_service = stream_service
        self.numbers = itertools.count(1)
        self.version = 1
        self.key = self._new_key()
        self.next_key: str | None = None
        self.taken_away: dict[str, float] = {}
        self.rate = 4000
        self.limits: list[Confirmed] = []
        self.adapter_versions: dict[str, int] = {}
        self.named: list[Confirmed] = []
        self.large: list[Confirmed] = []
        self.declared: dict[str, dict] = {}
        self.lock = asyncio.Lock()
        self.replacing = asyncio.Lock()

    def _new_key(self) -> str:
        return f'key-{next(self.numbers)}'

    async def begin(self) -> None:
        await self._publish()
        self.limits.append(Confirmed('limit', self.rate, 0.0))

    async def replace_key(self) -> None:
        """Declare a new key beside the old one, then take that away."""
        async with self.replacing:
            async with self.lock:
                self.next_key = self._new_key()
                await self._publish()
            await asyncio.sleep(_world.CONTACT_MS / 1000)
            async with self.lock:
                old, self.key, self.next_key = self.key, self.next_key, None
                self.taken_away[old] = await self._publish()

    async def change_limit(self) -> None:
        async with self.lock:
            self.rate = self.chance.choice((2000, 4000, 8000, 20_000))
            at = await self._publish()
            self.limits.append(Confirmed('limit', self.rate, at))

    async def publish_large(self) -> None:
        """Publish two large configurations in a row.

        Each has a route of its own, ``large[-1]``, in place of the one before.
        """
        for _ in range(2):
            async with self.lock:
                path = f'/v{self.version + 1}/'
                begun = time.monotonic()
                self.large.append(
                    Confirmed('route', path, float('inf'), begun)
                )
                at = await self._publish()
                self.large[-1] = Confirmed('route', path, at, begun)

    async def name_version(self, adapter: str | None = None) -> None:
        """Name a new version of an adapter, which endpoints can load.

        It is drawn if none is given.
        """
        async with self.lock:
            if adapter is None:
                adapter = f'a{self.chance.randrange(ADAPTERS)}'
            version = self.adapter_versions.get(adapter, 1) + 1
            self.adapter_versions[adapter] = version
            await self.tell_endpoints()
            at = await self._put_version(adapter, version)
            self.named.append(Confirmed(adapter, version, at))

    async def tell_endpoints(self) -> None:
        """Let the weight store of each endpoint have the newest versions."""
        await asyncio.gather(*map(self._tell, self.world.models))

    async def _tell(self, name: str) -> None:
        host = self.world.host(name)
        url = f'http://{host}:{self.world.endpoint_port}/control/newest'
        with contextlib.suppress(OSError, aiohttp.ClientError):
            async with self.world.session.post(
                url, json=self.adapter_versions
            ):
                pass

    async def write_again(self) -> None:
        """Write what an older copy of the store may lack."""
        async with self.lock:
            await self._put('config', self._configuration())
            for adapter, version in self.adapter_versions.items():
                await self._put_version(adapter, version)

    async def write_nonsense(self) -> None:
        """Write a configuration that can't be read, then a good one."""
        async with self.lock:
            broken = self._configuration() | {'Tenants': [{'Name': 5}]}
            await self._put('config', broken | {'Version': self.version + 1})
            self.version += 1
            await self._publish()

    async def _publish(self) -> float:
        self.version += 1
        return await self._put('config', self._configuration())

    async def _put_version(self, adapter: str, version: int) -> float:
        entry = {'Model': MODEL, 'Adapter': adapter, 'Version': version}
        return await self._put(f'version/{MODEL}.{adapter}', entry)

    async def _put(self, key: str, value: dict) -> float:
        """Publish until the store confirms it; return when it had."""
        while True:
            at = await self.world.put(key, value)
            if at is not None:
                return at
            await asyncio.sleep(RETRY_S)

    def _configuration(self) -> dict:
        keys = [self.key, *([self.next_key] if self.next_key else [])]
        return {
            'Version': self.version,
            'Routes': self.declare(),
            'Services': [
                {
                    'Name': _world.MODEL_SERVICE,
                    'MaxConns': 400,
                    'Engine': {
                        'Slots': _standins.MODEL_SLOTS,
                        'AdapterSlots': ADAPTERS,
                        'Models': [{'Name': MODEL, 'Adapters': ADAPTERS}],
                        'Stride': TOKENS_PER_EVENT if self.paced else 1,
                    },
                },
                {'Name': _world.PLAIN_SERVICE, 'MaxConns': 400},
            ],
            'Limits': {},
            'Tenants': [
                {'Name': WORKSPACE, 'ApiKeys': keys},
                {
                    'Name': LIMITED,
                    'ApiKeys': [LIMITED_KEY],
                    'Unit': 'tokens',
                    'PlainTokens': PLAIN_TOKENS,
                    'RatePerS': self.rate,
                    'Burst': self.rate,
                },
                *([FLOODING_WORKSPACE] if self.paced else []),
            ],
        }

    def declare(self) -> list[dict]:
        """Return the routes of now, and note them as declared."""
        routes = [
            _route('/m/', 'stream', _world.MODEL_SERVICE)
            | {'GapTargetMs': EVENT_GAP_MS if self.paced else 0},
            _route('/p/', 'unsafe', _world.PLAIN_SERVICE),
            _route('/o/', 'safe', _world.PLAIN_SERVICE, public=True),
            *([self._stream_route()] if self.streams else []),
            *self._large_routes(),
        ]
        self.declared |= {route['PathPrefix']: route for route in routes}
        return routes

    def most_runs(self, path: str) -> int:
        """Return how often the route of a path lets a request run."""
        matching = [x for x in self.declared if path.startswith(x)]
        if not matching:
            return 0
        route = self.declared[max(matching, key=len)]
        return route['MaxAttempts'] if route['Kind'] == 'safe' else 1

    def _stream_route(self) -> dict:
        path = _streams.PREFIX
        route = _route(path, 'stream', self.stream_service, public=True)
        return route | {
            'Resumable': True,
            'MaxAttempts': 2,
            'TimeoutMs': _streams.DEADLINE_MS,
        }

    def _large_routes(self) -> list[dict]:
        if not self.large:
            return []
        paths = [self.large[-1].value]
        paths += [f'/{number:08x}/' for number in range(LARGE_ROUTES)]
        service = _world.PLAIN_SERVICE
        return [_route(path, 'safe', service, public=True) for path in paths]


def _route(prefix: str, kind: str, service: str, public: bool = False):
    return {
        'Name': prefix,
        'Host': 'soak.example',
        'PathPrefix': prefix,
        'Kind': kind,
        'TimeoutMs': 6000,
        'TargetLatencyMs': 1000,
        'Priority': 1,
        'Service': service,
        'MaxAttempts': 2 if kind == 'safe' else 1,
        'AllowAnonymous': public,
    }
