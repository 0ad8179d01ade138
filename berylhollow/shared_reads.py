"""Reads of the platform's log that gateways of a failure domain share.

Every gateway follows the same two streams. If each read them itself, the calls
to the log would grow with the number of gateways: for 68 of them they cost as
much as all the instances. Instead one gateway reads and publishes the result
to the others through a process that all of them have a link to. The reader is
not elected: a gateway that receives nothing for a while reads for itself, and
of two readers the one with the lower name goes on. Without listeners, or with
every link down, each gateway reads for itself.
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
from berylhollow import stream_parts

LOG = logging.getLogger(__name__)

MIN_SILENCE_INTERVALS = 1.25
SILENCE_SPREAD_INTERVALS = 0.45
"""Intervals of the reader that may pass without a part from it, and how many
more depending on the gateway's name, so that not all take over at once. At
intervals of 0.8 s the sum is below the 1.5 s after which the endpoint list is
stale."""

MAX_RECEIVED_BYTES = 8 * 1024 * 1024
"""Size of the received records that are kept until they are asked for. Beyond
it they are dropped and read from the log instead."""

Publish = collections.abc.Callable[[messages.AnyStreamPart], None]


@dataclasses.dataclass(slots=True)
class ReceivedRecords:
    """Records of one stream that were received and not yet asked for.

    ``records`` follow each other without a gap from offset ``start`` of
    ``era``. ``is_fresh`` says that a part was received since the last call of
    ``pop_from``, even if it had no new records.
    """

    era: int = 0
    start: int = 0
    records: list[bytes] = dataclasses.field(default_factory=list)
    size_bytes: int = 0
    is_fresh: bool = False

    @property
    def end(self) -> int:
        """Return the offset after the last record."""
        return self.start + len(self.records)

    def add(self, part: messages.StreamPart) -> bool:
        """Add a part; return False if it is older than what is known."""
        if part.era < self.era:
            return False
        if part.era > self.era:
            self.era = part.era
            self.reset(part.from_offset)
        if part.next_offset < self.end:
            return False
        is_adjoining = part.from_offset <= self.end
        if not is_adjoining or self.size_bytes > MAX_RECEIVED_BYTES:
            self.reset(part.from_offset)
        known_count = self.end - part.from_offset
        added = part.records[known_count:]
        self.records += added
        self.size_bytes += sum(map(len, added))
        self.is_fresh = True
        return True

    def has_news(self, offset: int, era: int) -> bool:
        """Tell whether ``pop_from`` would return more than is known."""
        if not self.is_fresh or era > self.era:
            return False
        return era < self.era or self.start <= offset < self.end

    def pop_from(self, offset: int, era: int) -> log_service.ReadResult | None:
        """Return the records from an offset on; None if they are not known.

        If the received era is newer than that of the offset, the result has
        the new era but no records: the caller has to read the newest ones.
        """
        if not self.is_fresh or era > self.era:
            return None
        if era < self.era:
            return log_service.ReadResult(
                (), 0, offset, self.era, whole=False, told=True
            )
        if not self.start <= offset <= self.end:
            return None
        entries = tuple(
            messages.LogEntry(offset + index, 0, data)
            for index, data in enumerate(self.records[offset - self.start :])
        )
        end = self.end
        self.reset(end)
        return log_service.ReadResult(
            entries, offset, end, self.era, told=True
        )

    def reset(self, start: int) -> None:
        """Drop all records and continue at an offset."""
        self.start = start
        self.records = []
        self.size_bytes = 0
        self.is_fresh = False


@dataclasses.dataclass(slots=True)
class ReaderRole:
    """Whether this gateway is the reader of one stream; a pure state machine.

    ``is_reader`` is True while it is; ``is_superseded`` is True if another
    gateway has become the reader since our last read began.
    """

    name: str
    silence_timeout_ms: int
    is_reader: bool = True
    is_superseded: bool = False
    last_heard_ms: int = clock.NEVER_MS

    def record_other_read(self, reader: str, at_ms: int) -> bool:
        """Record another gateway's read; True if we were the reader."""
        if self.is_reader and reader > self.name:
            return False
        was_reader = self.is_reader
        self.is_reader = False
        self.is_superseded = True
        self.last_heard_ms = at_ms
        return was_reader

    def begin_read(self) -> None:
        """Record that we begin a read."""
        self.is_superseded = False

    def finish_read(self) -> bool:
        """Record that our read succeeded; return whether we become the reader.

        If another gateway has become the reader during our read, we do not.
        Otherwise two gateways whose reads wait for news at the same time would
        each become the reader again, just after hearing of the other, and none
        would ever listen.
        """
        if self.is_superseded:
            return False
        was_reader = self.is_reader
        self.is_reader = True
        return not was_reader

    def fail_read(self) -> None:
        """Record that our read failed; another gateway may take over."""
        self.is_reader = False

    def wait_ms(self, at_ms: int) -> int:
        """Return how long to wait for a part before reading ourselves."""
        if self.is_reader:
            return 0
        return max(0, self.last_heard_ms + self.silence_timeout_ms - at_ms)


class SharedLog:
    """The log, with shared reads of some streams.

    ``pause_ms`` is the longest interval between two reads of the reader.
    ``fraction`` in [0, 1) sets how soon this gateway takes over from a silent
    reader. Methods raise what those of the source raise.
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
        silence_timeout_ms = pause_ms * (
            MIN_SILENCE_INTERVALS + SILENCE_SPREAD_INTERVALS * fraction
        )
        self.roles = {
            stream: ReaderRole(name, int(silence_timeout_ms))
            for stream in streams
        }
        self.received = {stream: ReceivedRecords() for stream in self.roles}
        self.part_received = {stream: asyncio.Event() for stream in self.roles}
        self.eras = dict.fromkeys(self.roles, 0)
        self.publish: Publish = lambda part: None
        self.has_listeners: collections.abc.Callable[[], bool] = lambda: False

    async def newest(self, stream: str) -> log_service.ReadResult:
        """Return the newest record of each key; never a shared read."""
        result = await self.source.newest(stream)
        self._update_era(stream, result)
        return result

    async def read(
        self, stream: str, from_offset: int, wait_ms: int = 0
    ) -> log_service.ReadResult:
        """Return the records from an offset on, read or received.

        With listeners ``wait_ms`` is limited to ``pause_ms``, as they take
        over from a reader that is silent for longer.
        """
        if stream not in self.roles or not self.has_listeners():
            result = await self.source.read(
                stream, from_offset, wait_ms=wait_ms
            )
            self._update_era(stream, result)
            return result
        received = await self._wait_for_records(stream, from_offset)
        if received is not None:
            self.eras[stream] = received.era
            return received
        wait_ms = min(wait_ms, self.pause_ms)
        return await self._read_source(stream, from_offset, wait_ms)

    def add_part(self, sent: messages.AnyStreamPart) -> None:
        """Add a part that another gateway has read."""
        role = self.roles.get(sent.stream)
        if role is None or sent.reader == self.name:
            return
        try:
            part = stream_parts.decompress(sent)
        except stream_parts.CorruptPartError as error:
            fields = {'stream': sent.stream, 'reader': sent.reader}
            LOG.warning('part is corrupt: %s', error, extra=fields)
            return
        if not self.received[part.stream].add(part):
            return
        if role.record_other_read(part.reader, self.time.now_ms()):
            fields = {'stream': part.stream, 'reader': part.reader}
            LOG.info('another gateway reads the stream', extra=fields)
        self.part_received[part.stream].set()

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset."""
        return await self.source.append(stream, data)

    async def close(self) -> None:
        """Close the connections."""
        await self.source.close()

    async def _wait_for_records(
        self, stream: str, from_offset: int
    ) -> log_service.ReadResult | None:
        """Wait for a part of another gateway; None if we have to read."""
        while True:
            received = self.received[stream].pop_from(
                from_offset, self.eras[stream]
            )
            if received is not None:
                return received
            if from_offset < self.received[stream].start:
                # A part was missed, and it will not be published again.
                return None
            wait_ms = self.roles[stream].wait_ms(self.time.now_ms())
            if not wait_ms:
                return None
            await self._wait_for_part(stream, wait_ms)

    async def _wait_for_part(self, stream: str, wait_ms: int) -> None:
        part_received = self.part_received[stream]
        part_received.clear()
        try:
            async with asyncio.timeout(wait_ms / clock.MS_PER_SECOND):
                await part_received.wait()
        except TimeoutError:
            fields = {'stream': stream, 'silent_ms': wait_ms}
            LOG.info('nothing heard of the stream', extra=fields)

    async def _read_source(
        self, stream: str, from_offset: int, wait_ms: int
    ) -> log_service.ReadResult:
        role = self.roles[stream]
        role.begin_read()
        try:
            result = await self._read_or_receive(stream, from_offset, wait_ms)
        except outgoing.CallError:
            role.fail_read()
            raise
        if result.told:
            self.eras[stream] = result.era
            return result
        if role.finish_read():
            LOG.info('reads the stream for others', extra={'stream': stream})
        is_new_era = result.era != self.eras[stream]
        self._update_era(stream, result)
        received = self.received[stream]
        if not received.start <= result.next_offset <= received.end:
            received.reset(result.next_offset)
        if role.is_reader and not is_new_era:
            self._publish_part(stream, from_offset, result)
        return result

    async def _read_or_receive(
        self, stream: str, from_offset: int, wait_ms: int
    ) -> log_service.ReadResult:
        """Read from the source, unless the records are received before.

        A large part that another gateway has read arrives compressed, long
        before the same records from the source.
        """
        reading = asyncio.ensure_future(
            self.source.read(stream, from_offset, wait_ms=wait_ms)
        )
        received = self.received[stream]
        part_received = self.part_received[stream]
        try:
            while not reading.done():
                if received.has_news(from_offset, self.eras[stream]):
                    return received.pop_from(from_offset, self.eras[stream])
                part_received.clear()
                hearing = asyncio.ensure_future(part_received.wait())
                try:
                    await asyncio.wait(
                        (reading, hearing),
                        return_when=asyncio.FIRST_COMPLETED,
                    )
                finally:
                    hearing.cancel()
            return reading.result()
        finally:
            reading.cancel()

    def _update_era(self, stream: str, result: log_service.ReadResult) -> None:
        """Drop records that were received of an earlier era."""
        if stream not in self.roles:
            return
        self.eras[stream] = result.era
        received = self.received[stream]
        if result.era > received.era:
            received.era = result.era
            received.reset(result.next_offset)

    def _publish_part(
        self, stream: str, from_offset: int, result: log_service.ReadResult
    ) -> None:
        part = messages.StreamPart(
            stream,
            from_offset,
            result.next_offset,
            tuple(entry.data for entry in result.records),
            self.name,
            result.era,
        )
        compressed = stream_parts.compress(part)
        if compressed is not part:
            self._log_large_part(part, compressed)
        if stream_parts.size_bytes(compressed) <= stream_parts.MAX_SENT_BYTES:
            self.publish(compressed)

    def _log_large_part(
        self, part: messages.StreamPart, compressed: messages.AnyStreamPart
    ) -> None:
        size_bytes = stream_parts.size_bytes(compressed)
        fields = {
            'stream': part.stream,
            'next_offset': part.next_offset,
            'size_bytes': stream_parts.size_bytes(part),
            'compressed_bytes': size_bytes,
            'published': size_bytes <= stream_parts.MAX_SENT_BYTES,
        }
        LOG.info('large part was read', extra=fields)
