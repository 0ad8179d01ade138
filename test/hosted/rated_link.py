"""A link with a rate, and the store's HTTP calls over it, on virtual time."""

import asyncio
import collections
import contextlib
import types

import aiohttp
from aiohttp import web

from berylhollow import clock
from berylhollow.standin import metadata_store

LATENCY_MS = 2
TURN_MS = 5
"""Time for which a transfer has its link before the next one's turn."""

HEADERS_BYTES = 300

Rate = float
"""In bytes per millisecond."""


async def sleep_ms(duration_ms):
    await asyncio.sleep(duration_ms / clock.MS_PER_SECOND)


class SharedLink:
    """Incoming traffic of one machine; transfers take turns in chunks."""

    def __init__(self, rate: Rate, background_share: float = 0.0):
        self.rate = rate
        self.turn_bytes = int(rate * TURN_MS)
        self.background_share = background_share
        self.turn = asyncio.Lock()
        self.transferred = collections.Counter()

    async def transfer(self, size: int, kind: str) -> None:
        """Return when ``size`` bytes have arrived."""
        while size > 0:
            chunk = min(size, self.turn_bytes)
            async with self.turn:
                await sleep_ms(chunk / self.rate)
            self.transferred[kind] += chunk
            size -= chunk

    async def carry_background(self) -> None:
        """Carry the traffic of callers and endpoints, without end."""
        if not self.background_share:
            return
        while True:
            await self.transfer(self.turn_bytes, 'background')
            await sleep_ms(TURN_MS * (1 / self.background_share - 1))


class LinkedSession:
    """The part of ``aiohttp.ClientSession`` that the store's client uses.

    Answers come from the handlers of the stand-in store over a link, and the
    time limits are those of ``aiohttp.ClientTimeout``.
    """

    def __init__(self, store: metadata_store.MetadataStore, link: SharedLink):
        application = web.Application()
        store.add_to(application)
        self.handlers = {
            route.resource.canonical: route.handler
            for route in application.router.routes()
        }
        self.link = link
        self.latency_ms = LATENCY_MS
        self.is_cut = False

    async def request(self, _method, url, *, timeout, params, **_options):
        if self.is_cut:
            raise aiohttp.ClientConnectionError('cut off')
        path = '/v1/' + url.rpartition('/')[2]
        limits = _Limits(timeout)
        async with limits.progress():
            await sleep_ms(self.latency_ms)
            request = types.SimpleNamespace(query=params)
            answer = await self.handlers[path](request)
            await self.link.transfer(HEADERS_BYTES, 'store')
        return _LinkedResponse(answer, self.link, limits)

    async def close(self):
        pass


class _Limits:
    """The time limits of one call: on the whole and between two pieces."""

    def __init__(self, timeout: aiohttp.ClientTimeout):
        self.loop = asyncio.get_running_loop()
        self.piece_s = timeout.sock_read
        self.by_s = timeout.total and self.loop.time() + timeout.total

    def progress(self):
        limits = [self.by_s] if self.by_s else []
        if self.piece_s:
            limits.append(self.loop.time() + self.piece_s)
        if not limits:
            return contextlib.nullcontext()
        return asyncio.timeout_at(min(limits))


class _LinkedResponse:
    """A response whose body arrives over a link while it is read."""

    is_delimited_by_close = False

    def __init__(self, answer, link, limits):
        self.status = answer.status
        self.headers = answer.headers
        self.body = bytes(answer.body)
        self.content_length = len(self.body)
        self.content = self
        self.arrived = 0
        self.link = link
        self.limits = limits

    def close(self):
        pass

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_error):
        pass

    async def readany(self):
        """Return the next piece, b'' after the last one."""
        start = self.arrived
        piece = min(self.link.turn_bytes, len(self.body) - start)
        if piece:
            async with self.limits.progress():
                await self.link.transfer(piece, 'store')
        self.arrived += piece
        return self.body[start : self.arrived]
