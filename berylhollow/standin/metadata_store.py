"""A stand-in for the metadata store: keyed records, one log per topic."""

import asyncio
import base64
import copy
import dataclasses
import struct

from aiohttp import web

RECORD_LENGTH = struct.Struct('>I')
END_AND_FIRST = struct.Struct('>QQ')
MS_PER_SECOND = 1000
UNAVAILABLE = 503
GONE = 410
ERA_HEADER = 'Store-Era'


@dataclasses.dataclass
class Topic:
    """Records from offset ``first`` on, and the newest of each key."""

    first: int = 0
    records: list[bytes] = dataclasses.field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = dataclasses.field(
        default_factory=dict
    )

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def put(self, key: str, value: bytes) -> int:
        """Append a keyed record; an empty value deletes the key."""
        offset = self.end
        name = key.encode()
        self.records.append(bytes([len(name)]) + name + value)
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        return offset

    def discard_history(self) -> None:
        """Discard the history; the newest record of each key stays."""
        self.first = self.end
        self.records.clear()


class MetadataStore:
    """The store's calls that the system uses, and its faults.

    ``down`` refuses every call; ``silent`` leaves calls unanswered. ``era``
    increases each time the store is restored from an older copy.
    """

    def __init__(self):
        self.topics: dict[str, Topic] = {}
        self.changed = asyncio.Condition()
        self.down = False
        self.silent = False
        self.era = 0
        self.calls = 0

    def topic(self, name: str) -> Topic:
        """Return a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    async def put(self, topic: str, key: str, value: bytes) -> int:
        """Publish a record as operators and endpoints do."""
        async with self.changed:
            offset = self.topic(topic).put(key, value)
            self.changed.notify_all()
        return offset

    def copy(self) -> dict[str, Topic]:
        """Return a copy of the topics for ``come_back``."""
        return copy.deepcopy(self.topics)

    async def come_back(self, older: dict[str, Topic]) -> None:
        """Restore a copy; records acknowledged since then are lost."""
        async with self.changed:
            self.topics = copy.deepcopy(older)
            self.era += 1
            self.changed.notify_all()

    def add_to(self, application: web.Application) -> None:
        """Add the routes."""
        router = application.router
        router.add_get('/v1/log-newest', self._newest)
        router.add_get('/v1/log-read', self._read)
        router.add_post('/v1/log-append', self._append)

    async def _check_available(self) -> None:
        self.calls += 1
        if self.down:
            raise web.HTTPServiceUnavailable
        while self.silent:
            await asyncio.sleep(0.01)

    async def _newest(self, request: web.Request) -> web.Response:
        await self._check_available()
        topic = self.topic(request.query['Topic'])
        items = [
            {
                'Key': key,
                'Value': base64.b64encode(value).decode(),
                'Offset': offset,
            }
            for key, (offset, value) in sorted(topic.newest.items())
        ]
        return web.json_response(
            {'items': items, 'HasMore': False, 'End': topic.end},
            headers=self._headers(),
        )

    def _headers(self) -> dict[str, str]:
        return {ERA_HEADER: str(self.era)}

    async def _read(self, request: web.Request) -> web.Response:
        await self._check_available()
        topic = self.topic(request.query['Topic'])
        offset = int(request.query['From'])
        wait_s = int(request.query.get('WaitMs', 0)) / MS_PER_SECOND
        if not topic.first <= offset <= topic.end:
            return web.json_response(
                {'First': topic.first}, status=GONE, headers=self._headers()
            )
        era = self.era
        await self._wait_for(topic, offset, wait_s)
        if era != self.era:
            raise web.HTTPServiceUnavailable
        body = END_AND_FIRST.pack(topic.end, topic.first)
        for record in topic.records[offset - topic.first :]:
            body += RECORD_LENGTH.pack(len(record)) + record
        return web.Response(body=body, headers=self._headers())

    async def _wait_for(
        self, topic: Topic, offset: int, wait_s: float
    ) -> None:
        if not wait_s:
            return
        try:
            async with asyncio.timeout(wait_s), self.changed:
                era = self.era
                await self.changed.wait_for(
                    lambda: topic.end > offset or era != self.era
                )
        except TimeoutError:
            return

    async def _append(self, request: web.Request) -> web.Response:
        await self._check_available()
        body = await request.read()
        topic = self.topic(request.query['Topic'])
        offset = topic.end
        while body:
            (length,) = RECORD_LENGTH.unpack_from(body)
            topic.records.append(
                body[RECORD_LENGTH.size : RECORD_LENGTH.size + length]
            )
            body = body[RECORD_LENGTH.size + length :]
        return web.json_response(
            {'Offset': offset, 'End': topic.end}, headers=self._headers()
        )
