"""Reads of the platform's log that gateways close to each other share.

Every gateway follows the same two streams. Read by each alone, the calls to
the log grow with the gateways: on 68 of them they cost as much as all the
instances. Here one reads and tells the others, through a process that all of
them have a link to. Nobody is elected: whoever hears nothing for a while reads
for itself, and of two that read the one with the lower name goes on. Without
listeners, or with every link cut, each reads alone as before.
"""

import asyncio
import collections.abc
import dataclasses
import logging

from berylhollow import clock
from berylhollow import log_service
from berylhollow import messages
from berylhollow import outgoing
from berylhollow import shell

LOG = logging.getLogger(__name__)

LEAST_SILENCE = 1.25
SILENCE_SPREAD = 0.45
"""How many of the reader's pauses may pass without word from it, and how much
more by name, so that not all take its place at once. Together below the 1.5 s
after which the list of endpoints counts as lost, at pauses of 0.8 s."""

MOST_TOLD_BYTES = 256 * 1024
"""A part that is larger is not told on: whoever missed so much reads it, and
a link of 5 Mbit/s would be busy with it for half a second."""

MOST_KEPT_BYTES = 1024 * 1024
"""Of what was told and not asked for yet; then it is read instead."""

Publish = collections.abc.Callable[[messages.StreamPart], None]


@dataclasses.dataclass(slots=True)
class Told:
    """What others have told of one stream and nobody has asked for yet.

    ``parts`` are records without a gap from ``start`` on, offsets of
    ``era``. ``fresh`` tells that something was heard since it was last asked
    for, if only that there is nothing new.
    """

    era: int = 0
    start: int = 0
    parts: list[bytes] = dataclasses.field(default_factory=list)
    size: int = 0
    fresh: bool = False

    @property
    def end(self) -> int:
        """Return the offset behind the last record."""
        return self.start + len(self.parts)

    def take(self, part: messages.StreamPart) -> bool:
        """Add a part; False if it is older than what is known."""
        if part.era < self.era:
            return False
        if part.era > self.era:
            self.era = part.era
            self.forget(part.from_offset)
        if part.next_offset < self.end:
            return False
        joins = part.from_offset <= self.end
        if not joins or self.size > MOST_KEPT_BYTES:
            self.forget(part.from_offset)
        known = self.end - part.from_offset
        added = part.records[known:]
        self.parts += added
        self.size += sum(map(len, added))
        self.fresh = True
        return True

    def after(self, offset: int, era: int) -> log_service.ReadResult | None:
        """Return what follows an offset; None if that is not known.

        Of a newer era than that of the offset nothing but the era itself:
        whoever asks has to begin anew.
        """
        if not self.fresh or era > self.era:
            return None
        if era < self.era:
            return log_service.ReadResult(
                (), 0, offset, self.era, whole=False, told=True
            )
        if not self.start <= offset <= self.end:
            return None
        entries = tuple(
            messages.LogEntry(offset + index, 0, data)
            for index, data in enumerate(self.parts[offset - self.start :])
        )
        end = self.end
        self.forget(end)
        return log_service.ReadResult(
            entries, offset, end, self.era, told=True
        )

    def forget(self, start: int) -> None:
        """Keep nothing before an offset, and take what follows it."""
        self.start = start
        self.parts = []
        self.size = 0
        self.fresh = False


@dataclasses.dataclass(slots=True)
class Turn:
    """Whose turn it is to read one stream; a pure machine.

    ``reading`` is True while it is ours, ``yielded`` once another has taken
    it since our last read began.
    """

    name: str
    silence_ms: int
    reading: bool = True
    yielded: bool = False
    heard_ms: int = clock.NEVER_MS

    def heard(self, reader: str, at_ms: int) -> bool:
        """Another has read; return whether it was our turn until now."""
        if self.reading and reader > self.name:
            return False
        was_reading = self.reading
        self.reading = False
        self.yielded = True
        self.heard_ms = at_ms
        return was_reading

    def begins_to_read(self) -> None:
        """We read for want of word of another."""
        self.yielded = False

    def has_read(self) -> bool:
        """We have read; return whether the turn is ours only now.

        Not if another has read meanwhile. Guards against gateways whose reads
        wait for news side by side: each ended as a reader again, a moment
        after it had heard of the other, and none ever listened.
        """
        if self.yielded:
            return False
        was_reading = self.reading
        self.reading = True
        return not was_reading

    def has_failed(self) -> None:
        """We could not read; another may, and is listened to."""
        self.reading = False

    def wait_ms(self, at_ms: int) -> int:
        """Return how long to listen before reading ourselves."""
        if self.reading:
            return 0
        return max(0, self.heard_ms + self.silence_ms - at_ms)


class SharedLog:
    """The log, with reads of some streams shared.

    ``pause_ms`` is how often the one whose turn it is reads, at least.
    ``fraction`` in [0, 1) sets when this one takes the turn of one that has
    gone silent. Raises what the source raises.
    """

    def __init__(
        self,
        source: shell.KeyedLog,
        streams: collections.abc.Iterable[str],
        name: str,
        time: clock.Clock,
        pause_ms: int,
        fraction: float,
    ):
        self.source = source
        self.time = time
        self.name = name
        self.pause_ms = pause_ms
        silence_ms = pause_ms * (LEAST_SILENCE + SILENCE_SPREAD * fraction)
        self.turns = {x: Turn(name, int(silence_ms)) for x in streams}
        self.told = {stream: Told() for stream in self.turns}
        self.news = {stream: asyncio.Event() for stream in self.turns}
        self.eras = dict.fromkeys(self.turns, 0)
        self.publish: Publish = lambda part: None
        self.has_listeners: collections.abc.Callable[[], bool] = lambda: False

    async def newest(self, stream: str) -> log_service.ReadResult:
        """Return the newest record of each key; never shared."""
        result = await self.source.newest(stream)
        self._note_era(stream, result)
        return result

    async def read(
        self, stream: str, from_offset: int, wait_ms: int = 0
    ) -> log_service.ReadResult:
        """Return the records from an offset on, read or told by another.

        With listeners ``wait_ms`` is cut to the pause: they take over from a
        reader that is silent for longer.
        """
        if stream not in self.turns or not self.has_listeners():
            result = await self.source.read(
                stream, from_offset, wait_ms=wait_ms
            )
            self._note_era(stream, result)
            return result
        told = await self._listen(stream, from_offset)
        if told is not None:
            self.eras[stream] = told.era
            return told
        wait_ms = min(wait_ms, self.pause_ms)
        return await self._read(stream, from_offset, wait_ms)

    def take(self, part: messages.StreamPart) -> None:
        """Take in what another gateway has read."""
        turn = self.turns.get(part.stream)
        if turn is None or part.reader == self.name:
            return
        if not self.told[part.stream].take(part):
            return
        if turn.heard(part.reader, self.time.now_ms()):
            fields = {'stream': part.stream, 'reader': part.reader}
            LOG.info('another gateway reads the stream', extra=fields)
        self.news[part.stream].set()

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset."""
        return await self.source.append(stream, data)

    async def close(self) -> None:
        """Close the connections."""
        await self.source.close()

    async def _listen(
        self, stream: str, from_offset: int
    ) -> log_service.ReadResult | None:
        """Wait for word of another; None if it is our turn."""
        while True:
            told = self.told[stream].after(from_offset, self.eras[stream])
            if told is not None:
                return told
            if from_offset < self.told[stream].start:
                # Something was missed that will not be told again.
                return None
            wait_ms = self.turns[stream].wait_ms(self.time.now_ms())
            if not wait_ms:
                return None
            await self._wait(stream, wait_ms)

    async def _wait(self, stream: str, wait_ms: int) -> None:
        news = self.news[stream]
        news.clear()
        try:
            async with asyncio.timeout(wait_ms / clock.MS_PER_SECOND):
                await news.wait()
        except TimeoutError:
            fields = {'stream': stream, 'silent_ms': wait_ms}
            LOG.info('nothing heard of the stream', extra=fields)

    async def _read(
        self, stream: str, from_offset: int, wait_ms: int
    ) -> log_service.ReadResult:
        turn = self.turns[stream]
        turn.begins_to_read()
        try:
            result = await self.source.read(
                stream, from_offset, wait_ms=wait_ms
            )
        except outgoing.CallError:
            turn.has_failed()
            raise
        if turn.has_read():
            LOG.info('reads the stream for others', extra={'stream': stream})
        began_anew = result.era != self.eras[stream]
        self._note_era(stream, result)
        told = self.told[stream]
        if not told.start <= result.next_offset <= told.end:
            told.forget(result.next_offset)
        if turn.reading and not began_anew:
            self._tell(stream, from_offset, result)
        return result

    def _note_era(self, stream: str, result: log_service.ReadResult) -> None:
        """Forget what was told of an era that is over."""
        if stream not in self.turns:
            return
        self.eras[stream] = result.era
        told = self.told[stream]
        if result.era > told.era:
            told.era = result.era
            told.forget(result.next_offset)

    def _tell(
        self, stream: str, from_offset: int, result: log_service.ReadResult
    ) -> None:
        records = tuple(entry.data for entry in result.records)
        if sum(map(len, records)) > MOST_TOLD_BYTES:
            return
        self.publish(
            messages.StreamPart(
                stream,
                from_offset,
                result.next_offset,
                records,
                self.name,
                result.era,
            )
        )
