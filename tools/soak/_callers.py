"""Callers: what each of them sent, and what came back."""

import asyncio
import dataclasses
import itertools
import math
import random
import time

import aiohttp

from tools.soak import _answers
from tools.soak import _operator
from tools.soak import _standins
from tools.soak import _world

DEADLINE_MS = 4000
CROWD_DEADLINE_MS = 6000
OUTPUT_TOKENS = 10
PATIENCE_S = 8
PAUSE_S = 0.05
READY_PAUSE_S = 0.3
CULPRIT_PATH = '/p/crash'
KNOWN_S = _world.CONTACT_MS / 1000 + 1
"""By then every gateway in touch knows of a crash."""

CROWD_PAUSE_S = 1.0
"""Before a caller of a crowd comes back that was not served."""

PROMPT_PATH = '/p/prompt'
FIRST_PARTS = ('a0', 'a1')
SECOND_PARTS = 5
PROMPT_PAUSE_S = 0.15
BAD_PROMPT_PAUSE_S = 0.6
BAD_PART_LASTS_S = 15.0

PROMPT_TOKENS = 2370, 1.3
MOST_PROMPT_TOKENS = 6870
"""Mean and spread of the size of prompts to paced models, and its maximum."""

FLOOD_S = 2.0
FLOOD_REST_S = 4.0
FLOOD_PAUSE_S = 0.04
USUAL_PAUSE_S = 0.24
"""A flood is six times the usual requests of its workspace."""

MOST_CRASHES = 3
"""After these a request that crashes endpoints is refused."""

BURST_S = 6.0
BURST_PAUSE_S = 0.1
BURST_REST_S = 4.0
"""One culprit after the other, each repeated quickly and at all gateways."""


@dataclasses.dataclass
class Exchange:
    """One request of a caller and its answer; times are monotonic.

    ``status`` is None if there was no whole answer; ``answer_id`` is the
    request id that the answer names, whose head came at ``head_at``.
    ``session`` is the same for requests that may share a connection.
    """

    request_id: str
    path: str
    key: str | None
    tokens: int
    adapter: str
    gateway: str
    sent: float
    deadline_ms: int = DEADLINE_MS
    ended: float = 0.0
    status: int | None = None
    body: bytes = b''
    answer_id: str = ''
    plan: _answers.Plan = _answers.Plan()
    session: int = 0
    head_at: float = 0.0
    head_status: int = 0
    parts: tuple[str, ...] = ()

    @property
    def is_culprit(self) -> bool:
        """Whether the request crashes the endpoint that runs it."""
        return self.path.startswith(CULPRIT_PATH) or bool(self.bad_part)

    @property
    def bad_part(self) -> str:
        """The part of its prompt that crashes endpoints, if any."""
        bad = (
            part for part in self.parts if part.startswith(_standins.BAD_PART)
        )
        return next(bad, '')

    @property
    def burst(self) -> str:
        """The path of a request that comes in bursts, if it is one."""
        is_one = self.path.startswith(f'{CULPRIT_PATH}-')
        return self.path if is_one else ''

    @property
    def is_quarantined(self) -> bool:
        """Whether it was refused as one that crashes endpoints."""
        return self.status == 503 and b'"quarantined"' in self.body


class Callers:
    """Send requests all the time, over connections that are kept."""

    def __init__(
        self,
        world: _world.World,
        operator: _operator.Operator,
        chance: random.Random,
        cut_plain: bool = False,
    ):
        self.world = world
        self.cut_plain = cut_plain
        self.operator = operator
        self.chance = chance
        self.numbers = itertools.count(1)
        self.exchanges: list[Exchange] = []
        self.ready: list[str] = []

    async def watch(self) -> None:
        """Ask the gateways for their readiness, as the balancer does."""
        while True:
            answers = await asyncio.gather(
                *(self.world.ready(name) for name in self.world.gateways)
            )
            self.ready = [
                name
                for name, ready in zip(
                    self.world.gateways, answers, strict=True
                )
                if ready
            ]
            await asyncio.sleep(READY_PAUSE_S)

    async def call(self, limited: bool) -> None:
        """Be one caller, at one gateway after the other."""
        while True:
            # As the balancer does: all of them, where none is ready.
            gateway = self.chance.choice(self.ready or self.world.gateways)
            async with aiohttp.ClientSession() as session:
                for _ in range(self.chance.randrange(5, 60)):
                    exchange = self._request(gateway, limited)
                    if not await self._send(session, exchange):
                        break
                    await asyncio.sleep(PAUSE_S * self.chance.random() * 2)
            await asyncio.sleep(PAUSE_S)

    async def call_in_crowd(self, crowd: asyncio.Event, number: int) -> None:
        """Ask for one of the busiest adapters while there is a crowd."""
        chance = random.Random(number)
        adapter = _operator.BUSIEST[number % len(_operator.BUSIEST)]
        async with aiohttp.ClientSession() as session:
            while True:
                await crowd.wait()
                gateway = chance.choice(self.ready or self.world.gateways)
                number_sent = next(self.numbers)
                exchange = Exchange(
                    f'id-{number_sent}',
                    '/m/x',
                    self.operator.key,
                    self._model_tokens(number_sent),
                    adapter,
                    gateway,
                    time.monotonic(),
                    CROWD_DEADLINE_MS,
                )
                await self._send(session, exchange)
                served = exchange.status == 200
                pause_s = PAUSE_S if served else CROWD_PAUSE_S
                await asyncio.sleep(pause_s * chance.random() * 2)

    async def flood(self) -> None:
        """Request models for one workspace, in bursts of several times more.

        Answers are not awaited.
        """
        began = time.monotonic()
        async with asyncio.TaskGroup() as group:
            while True:
                since_s = (time.monotonic() - began) % (FLOOD_S + FLOOD_REST_S)
                is_flood = since_s >= FLOOD_REST_S
                group.create_task(self._send_to_model())
                await asyncio.sleep(
                    FLOOD_PAUSE_S if is_flood else USUAL_PAUSE_S
                )

    async def _send_to_model(self) -> None:
        number = next(self.numbers)
        exchange = Exchange(
            f'id-{number}',
            '/m/x',
            _operator.FLOODING_KEY,
            self._model_tokens(number),
            f'a{number % _operator.ADAPTERS}',
            self.world.gateways[number % len(self.world.gateways)],
            time.monotonic(),
        )
        async with aiohttp.ClientSession() as session:
            await self._send(session, exchange)

    def _model_tokens(self, number: int) -> int:
        """Return the size of a request to a model, drawn from its number."""
        if not self.operator.paced:
            return _operator.MODEL_TOKENS
        mean, spread = PROMPT_TOKENS
        # The mean of a log-normal distribution is exp(mu + spread**2 / 2).
        mu = math.log(mean) - spread**2 / 2
        drawn = random.Random(number).lognormvariate(mu, spread)
        return min(MOST_PROMPT_TOKENS, 1 + int(drawn)) + OUTPUT_TOKENS

    async def call_large(self) -> None:
        """Request the newest and the last route of large configurations.

        Gateways that are not ready are asked too, as callers do that stay with
        their connections.
        """
        chance = random.Random(len(self.world.gateways))
        while True:
            await asyncio.sleep(PAUSE_S * chance.random() * 2)
            paths = [route.value for route in self.operator.large[-2:]]
            if not paths:
                continue
            path = chance.choice(paths)
            gateway = chance.choice(self.world.gateways)
            await self._send_once(path, None, gateway)

    async def crash_endpoints(self) -> None:
        """Repeat a request that crashes endpoints until it is refused."""
        for number in range(MOST_CRASHES + 1):
            if number:
                await asyncio.sleep(KNOWN_S)
            if (await self._send_culprit(number)).is_quarantined:
                return

    async def go_on_crashing(self) -> None:
        """Send the request that crashes endpoints now and then."""
        for number in itertools.count():
            await asyncio.sleep(KNOWN_S)
            await self._send_culprit(number)

    async def crash_in_bursts(self) -> None:
        """Send new culprits at all gateways, without awaiting answers."""
        for number in itertools.count():
            path = f'{CULPRIT_PATH}-{number}'
            until = time.monotonic() + BURST_S
            async with asyncio.TaskGroup() as group:
                while time.monotonic() < until:
                    for gateway in self.world.gateways:
                        key = self.operator.key
                        sending = self._send_once(path, key, gateway)
                        group.create_task(sending)
                    await asyncio.sleep(BURST_PAUSE_S)
            await asyncio.sleep(BURST_REST_S)

    async def ask_prompts(self, is_bad: bool) -> None:
        """Send prompts with shared parts; one part is bad for some time.

        No two requests are alike.
        """
        began = time.monotonic()
        async with asyncio.TaskGroup() as group:
            while True:
                first = self.chance.choice(FIRST_PARTS)
                second = f'b{self.chance.randrange(SECOND_PARTS)}'
                if is_bad:
                    elapsed_s = time.monotonic() - began
                    number = int(elapsed_s / BAD_PART_LASTS_S)
                    first, second = (
                        FIRST_PARTS[0],
                        f'{_standins.BAD_PART}{number}',
                    )
                gateway = self.chance.choice(self.world.gateways)
                parts = first, second
                key = self.operator.key
                group.create_task(
                    self._send_once(PROMPT_PATH, key, gateway, parts)
                )
                pause_s = BAD_PROMPT_PAUSE_S if is_bad else PROMPT_PAUSE_S
                await asyncio.sleep(pause_s * self.chance.random() * 2)

    async def _send_culprit(self, number: int) -> Exchange:
        gateways = self.world.gateways
        gateway = gateways[number % len(gateways)]
        return await self._send_once(CULPRIT_PATH, self.operator.key, gateway)

    async def _send_once(
        self,
        path: str,
        key: str | None,
        gateway: str,
        parts: tuple[str, ...] = (),
    ) -> Exchange:
        """Send a request to a plain endpoint over a connection of its own."""
        exchange = Exchange(
            f'id-{next(self.numbers)}',
            path,
            key,
            _operator.PLAIN_TOKENS,
            '',
            gateway,
            time.monotonic(),
            parts=parts,
        )
        async with aiohttp.ClientSession() as session:
            await self._send(session, exchange)
        return exchange

    def _request(self, gateway: str, limited: bool) -> Exchange:
        path, key, adapter = '/p/x', self._key(), ''
        tokens = _operator.PLAIN_TOKENS
        if limited:
            key = _operator.LIMITED_KEY
        elif self.chance.random() < 0.15:
            path, key = '/o/x', None
        elif self.chance.random() < 0.6:
            path = '/m/x'
            adapter = f'a{self.chance.randrange(_operator.ADAPTERS)}'
        number = next(self.numbers)
        if adapter:
            tokens = self._model_tokens(number)
        plan = _answers.draw(number)
        if not (adapter or self.cut_plain):
            plan = plan.whole()
        return Exchange(
            f'id-{number}',
            path,
            key,
            tokens,
            adapter,
            gateway,
            time.monotonic(),
            plan=plan,
        )

    def _key(self) -> str:
        drawn = self.chance.random()
        taken_away = list(self.operator.taken_away)
        if drawn < 0.05:
            return _operator.UNKNOWN_KEY
        if drawn < 0.2 and taken_away:
            return self.chance.choice(taken_away)
        return self.operator.key

    async def _send(
        self, session: aiohttp.ClientSession, exchange: Exchange
    ) -> bool:
        """Return whether the caller stays with its connection."""
        self.exchanges.append(exchange)
        exchange.session = id(session)
        headers = {
            'Host': 'soak.example',
            'Request-Id': exchange.request_id,
            'Deadline-Ms': str(exchange.deadline_ms),
            'Tenant': 'made-up',
            _answers.PLAN_HEADER: exchange.plan.encode(),
        }
        if exchange.key is not None:
            headers['Api-Key'] = exchange.key
        if exchange.adapter:
            headers['Model'] = f'{_operator.MODEL}/{exchange.adapter}'
            prompt_tokens = exchange.tokens - OUTPUT_TOKENS
            headers['Token-Count'] = f'{prompt_tokens},{OUTPUT_TOKENS}'
        host = self.world.host(exchange.gateway)
        url = f'http://{host}:{self.world.callers_port}{exchange.path}'
        body = b'body'
        if exchange.path.startswith(CULPRIT_PATH):
            body = _standins.CRASH_BODY
        if exchange.parts:
            own = f'{int(exchange.request_id[3:]):x}'
            chain = ','.join(f'{part}:10' for part in (*exchange.parts, own))
            headers['Prompt-Prefix'] = chain
            body = exchange.request_id.encode()
        if exchange.plan.cut:
            # A body of its own: runs that are cut off make suspects.
            body = f'cut {exchange.request_id}'.encode()
        try:
            async with (
                asyncio.timeout(PATIENCE_S),
                session.post(url, headers=headers, data=body) as response,
            ):
                exchange.head_at = time.monotonic()
                exchange.head_status = response.status
                exchange.answer_id = response.headers.get('Request-Id', '')
                exchange.body = await response.read()
                exchange.status = response.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False
        finally:
            exchange.ended = time.monotonic()
        return exchange.status != 503
