"""Streams that callers take up again, over endpoints of two versions."""

import asyncio
import dataclasses
import itertools
import os
import random
import time

import aiohttp
from aiohttp import web

from tools.soak import _answers
from tools.soak import _world

PREFIX = '/s/'
PATH = f'{PREFIX}x'
EVENTS = 16
EVENT_S = 0.12
TRIES = 5
DEADLINE_MS = 12_000
PATIENCE_S = 6
PAUSE_S = 0.1
LISTED_S = 6.0
"""By then the list shows an end or a start, and callers know of neither."""

GOES_ON_SHARE = 0.9
LEAST_RESUMED = 12
FRAMINGS = ('chunks', 'length', 'connection')
PADDING_HEADER = 'Soak-Padding'
HALF_S = 0.01
"""Between the two halves in which a padded event is written."""

SLOW_READ_BYTES = 4096
SLOW_READ_S = 0.04


async def answer(
    request: web.BaseRequest, headers: dict[str, str], software: str
) -> web.StreamResponse:
    """Write the events after the last one that the caller has.

    Each event names its run, and the first event that the run makes.
    """
    headers['Content-Type'] = 'text/event-stream'
    first = int(request.headers.get('Last-Event-Id', '0')) + 1
    run = f'{os.getpid()}-{time.monotonic_ns()} {first}'
    padding = 'x' * int(request.headers.get(PADDING_HEADER, '0'))
    if padding:
        run += f'\npadding: {padding}'
    events = [
        f'id: {number}\ndata: {software}\nrun: {run}\n\n'.encode()
        for number in range(first, EVENTS + 1)
    ]
    plan = _answers.decode(request.headers.get(_answers.PLAN_HEADER))
    if plan.framing == 'connection':
        return await _write_unframed(request, headers, events, padding)
    response = web.StreamResponse(headers=headers)
    if plan.framing == 'length':
        response.content_length = sum(map(len, events))
    await response.prepare(request)
    for event in events:
        for part in _parts(event, padding):
            await response.write(part)
            await asyncio.sleep(HALF_S if padding else 0)
        await asyncio.sleep(EVENT_S)
    await response.write_eof()
    return response


async def _write_unframed(
    request: web.BaseRequest,
    headers: dict[str, str],
    events: list[bytes],
    padding: str,
) -> web.Response:
    """Write events without the library, which would frame them."""
    lines = ['HTTP/1.1 200 OK', 'Connection: close']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    transport = request.transport
    if transport is None:
        raise ConnectionResetError
    transport.write('\r\n'.join([*lines, '', '']).encode())
    for event in events:
        for part in _parts(event, padding):
            transport.write(part)
            await asyncio.sleep(HALF_S if padding else 0)
        await asyncio.sleep(EVENT_S)
    transport.close()
    return web.Response()


def _parts(event: bytes, padding: str) -> list[bytes]:
    """Return what is written of an event at once, half of a padded one."""
    middle = len(event) // 2 if padding else 0
    return [part for part in (event[:middle], event[middle:]) if part]


@dataclasses.dataclass
class Try:
    """One request for a stream; times are monotonic.

    ``first`` is the number of the first event that it was to bring, ``got``
    counts those that it has brought. ``is_whole`` is set if it ended as a
    complete answer, ``framing`` is that of the endpoint's answer. ``runs``
    are those whose events it has; ``is_joined`` is set if one of them had
    begun with another event than the first one of it here. The last event
    came at ``last_at``; ``has_left`` is set if the caller waited no longer.
    """

    request_id: str
    gateway: str
    first: int
    sent: float
    ended: float = 0.0
    status: int | None = None
    got: int = 0
    framing: str = 'chunks'
    is_whole: bool = False
    runs: list[str] = dataclasses.field(default_factory=list)
    is_joined: bool = False
    last_at: float = 0.0
    has_left: bool = False

    @property
    def has_last(self) -> bool:
        """Whether it has brought the last event of its stream."""
        return self.first + self.got > EVENTS


@dataclasses.dataclass
class Stream:
    """A caller's stream; ``received`` has each event's number and version."""

    tries: list[Try] = dataclasses.field(default_factory=list)
    received: list[tuple[int, str]] = dataclasses.field(default_factory=list)

    @property
    def versions(self) -> set[str]:
        return {version for _, version in self.received}

    @property
    def is_in_order(self) -> bool:
        numbers = [number for number, _ in self.received]
        return numbers == list(range(1, len(numbers) + 1))

    @property
    def first_id(self) -> str:
        """The id of the try that brought the first event."""
        return next(x.request_id for x in self.tries if x.got)

    @property
    def is_complete(self) -> bool:
        return len(self.received) == EVENTS


class Callers:
    """Begin streams all the time, and take up those that break.

    ``framings`` are those that answers may have, ``model`` is the one that
    requests name. Events have ``padding_bytes`` more than usual; a share of
    the callers reads slowly.
    """

    def __init__(
        self,
        world: _world.World,
        seed: int,
        framings: tuple[str, ...] = FRAMINGS[:1],
        model: str = '',
        padding_bytes: int = 0,
        slow_share: float = 0.0,
    ):
        self.world = world
        self.padding_bytes = padding_bytes
        self.slow_share = slow_share
        self.framings = framings
        self.model = model
        self.chance = random.Random(seed)
        self.numbers = itertools.count(1)
        self.streams: list[Stream] = []

    async def call(self) -> None:
        """Be one caller, with one stream after the other."""
        while True:
            stream = Stream()
            self.streams.append(stream)
            until = time.monotonic() + DEADLINE_MS / 1000
            for _ in range(TRIES):
                pause_s = await self._try(stream, until)
                if stream.is_complete or time.monotonic() >= until:
                    break
                await asyncio.sleep(pause_s)
            await asyncio.sleep(PAUSE_S * self.chance.random() * 2)

    async def _try(self, stream: Stream, until: float) -> float:
        """Send one request; return when to come back, in seconds."""
        now = time.monotonic()
        number = next(self.numbers)
        attempt = Try(
            f'stream-{number}',
            self.chance.choice(self.world.gateways),
            len(stream.received) + 1,
            now,
            framing=self.chance.choice(self.framings),
        )
        headers = {
            'Host': 'soak.example',
            'Request-Id': attempt.request_id,
            'Deadline-Ms': str(max(1, int((until - now) * 1000))),
            _answers.PLAN_HEADER: _answers.Plan(attempt.framing).encode(),
        }
        if self.padding_bytes:
            headers[PADDING_HEADER] = str(self.padding_bytes)
        is_slow = self.chance.random() < self.slow_share
        options = {'read_bufsize': SLOW_READ_BYTES} if is_slow else {}
        if self.model:
            headers['Model'] = self.model
        if stream.received:
            headers['Last-Event-Id'] = str(stream.received[-1][0])
            headers['Resumes'] = stream.first_id
        stream.tries.append(attempt)
        host = self.world.host(attempt.gateway)
        url = f'http://{host}:{self.world.callers_port}{PATH}'
        # A body of its own: runs that are cut off make suspects.
        body = f'{id(stream)}'.encode()
        pause_s = PAUSE_S
        try:
            async with (
                asyncio.timeout(PATIENCE_S),
                aiohttp.ClientSession(**options) as session,
                session.post(url, headers=headers, data=body) as response,
            ):
                attempt.status = response.status
                pause_s = float(response.headers.get('Retry-After', PAUSE_S))
                if response.status == 200:
                    await self._read(stream, attempt, response, is_slow)
        except TimeoutError:
            attempt.has_left = True
        except (aiohttp.ClientError, OSError):
            pass
        finally:
            attempt.ended = time.monotonic()
        return pause_s

    async def _read(
        self, stream: Stream, attempt: Try, response, is_slow: bool
    ) -> None:
        pending = b''
        limit = SLOW_READ_BYTES if is_slow else -1
        while part := await _read_part(response.content, limit):
            await asyncio.sleep(SLOW_READ_S if is_slow else 0)
            pending += part
            while b'\n\n' in pending:
                event, _, pending = pending.partition(b'\n\n')
                named = dict(
                    line.split(': ', 1) for line in event.decode().split('\n')
                )
                stream.received.append((int(named['id']), named['data']))
                attempt.got += 1
                attempt.last_at = time.monotonic()
                run, first = named['run'].split()
                if attempt.runs[-1:] != [run]:
                    attempt.runs.append(run)
                    attempt.is_joined |= first != named['id']
        attempt.is_whole = True


async def _read_part(content: aiohttp.StreamReader, limit: int) -> bytes:
    if limit > 0:
        return await content.read(limit)
    return await content.readany()
