"""The list of endpoints, kept up to date from a stream of keyed records."""

import collections.abc
import logging
import typing

from berylhollow import clock
from berylhollow import events
from berylhollow import log_service
from berylhollow import messages
from berylhollow import outgoing
from berylhollow import routes

LOG = logging.getLogger(__name__)

OUTAGE_MS = 1500
"""Without a read for so long, entries may have lapsed for want of renewal:
about the time between two heartbeats of an endpoint."""

RETURN_MS = 2300
"""How long after an outage entries that lapsed in it stay in use.

The platform lists whoever lives again within two seconds. Guards against a
service that loses all its endpoints at the moment at which the store comes
back; it shows as a burst of refusals after every outage.
"""

MOST_MALFORMED = 256
"""Names whose unreadable entry was told of: each is told once, and a writer
that makes up names must not fill the memory or the log."""

Decode = collections.abc.Callable[[bytes], tuple[str, events.Instance | None]]


class Source(typing.Protocol):
    """Where the records come from."""

    async def newest(self, stream: str) -> log_service.ReadResult:
        """Return the newest record of each key."""

    async def read(
        self, stream: str, from_offset: int
    ) -> log_service.ReadResult:
        """Return the records from an offset on."""


class EndpointDirectory:
    """Reads only what is new, and the whole list at a start or a gap.

    ``rows`` are by the name that an endpoint is listed under. ``lapsed``
    holds, by name, until when an entry that was dropped after an outage stays
    in use. ``doubted`` holds what was said once of an earlier start than the
    one that is known, ``malformed`` why an entry could not be read.
    """

    def __init__(
        self,
        source: Source,
        stream: str,
        decode: Decode,
        time: clock.Clock,
    ):
        self.source = source
        self.stream = stream
        self.decode = decode
        self.time = time
        self.rows: dict[str, events.Instance] = {}
        self.lapsed: dict[str, int] = {}
        self.doubted: dict[str, messages.Incarnation] = {}
        self.malformed: dict[str, str] = {}
        self.next_offset: int | None = None
        self.read_ms: int | None = None
        self.returned_ms = -RETURN_MS
        self.outage_ms = 0
        self.failures = 0
        self.busy = False

    async def list(self) -> tuple[events.Instance, ...]:
        """Return the endpoints as listed now.

        Raises ``outgoing.CallError`` if the store can't be read, and
        ``NotDone`` while another read is under way.
        """
        if self.busy:
            raise outgoing.NotDone('a read is under way')
        self.busy = True
        begun_ms = self.time.now_ms()
        begun_offset = self.next_offset
        try:
            await self._read()
        except outgoing.CallError as error:
            self._failed(error)
            raise
        finally:
            self.busy = False
        self._drop_lapsed()
        self._succeeded(begun_ms, begun_offset)
        return tuple(self.rows.values())

    def age_ms(self) -> int:
        """Return how long ago the list was read, -1 if it never was."""
        if self.read_ms is None:
            return -1
        return self.time.now_ms() - self.read_ms

    async def close(self) -> None:
        """Nothing to close: the source belongs to whoever made it."""

    async def _read(self) -> None:
        if self.next_offset is None:
            result = await self.source.newest(self.stream)
            self._replace(result)
            return
        try:
            result = await self.source.read(self.stream, self.next_offset)
        except log_service.OffsetGone:
            LOG.warning('history was dropped', extra={'stream': self.stream})
            self._replace(await self.source.newest(self.stream))
            return
        self._note_return()
        for name, row in self._decoded(result.records):
            self._take(name, row)
        self.next_offset = result.next_offset

    def _replace(self, result: log_service.ReadResult) -> None:
        self._note_return()
        ordered = sorted(result.records, key=lambda entry: entry.offset)
        rows = dict(self._decoded(ordered))
        for name in [name for name in self.rows if rows.get(name) is None]:
            self._take(name, None)
        for name, row in rows.items():
            if row is not None:
                self._take(name, row)
        self.next_offset = result.next_offset

    def _decoded(
        self, entries: collections.abc.Iterable[messages.LogEntry]
    ) -> collections.abc.Iterator[tuple[str, events.Instance | None]]:
        """Yield names and rows; an unreadable entry names no endpoint.

        It takes the place of a good one of the same name, as any newer entry
        does: whether that was read as the newest of all or as the next
        record, the same endpoints are in use. A living endpoint writes its
        own again within a heartbeat.
        """
        for entry in entries:
            try:
                name, row = self.decode(entry.data)
            except routes.MalformedRecordError as error:
                self._note_malformed(error, entry.offset)
                if error.key:
                    yield error.key, None
                continue
            self.malformed.pop(name, None)
            yield name, row

    def _note_malformed(
        self, error: routes.MalformedRecordError, offset: int
    ) -> None:
        reason = str(error)
        if self.malformed.get(error.key) == reason:
            return
        if len(self.malformed) >= MOST_MALFORMED:
            return
        self.malformed[error.key] = reason
        LOG.warning(
            'entry not understood',
            extra={'offset': offset, 'entry': error.key, 'reason': reason},
        )

    def _take(self, name: str, row: events.Instance | None) -> None:
        now_ms = self.time.now_ms()
        if row is not None and self._doubtful(name, row):
            return
        self.doubted.pop(name, None)
        if row is not None:
            # Whoever wrote last comes last: of two incarnations at one
            # address that is the one that lives.
            self.rows.pop(name, None)
            self.rows[name] = row
            if self.lapsed.pop(name, None) is not None:
                fields = {'endpoint': row.instance}
                LOG.info('endpoint is listed again', extra=fields)
            return
        known = self.rows.get(name)
        if known is None:
            return
        if now_ms - self.returned_ms < RETURN_MS and not known.leaving:
            self._hold_back(name, known)
            return
        del self.rows[name]

    def _hold_back(self, name: str, known: events.Instance) -> None:
        if name in self.lapsed:
            return
        until_ms = self.returned_ms + RETURN_MS
        self.lapsed[name] = until_ms
        LOG.info(
            'removal held back',
            extra={
                'endpoint': known.instance,
                'outage_ms': self.outage_ms,
                'hold_ms': until_ms - self.time.now_ms(),
            },
        )

    def _doubtful(self, name: str, row: events.Instance) -> bool:
        """Tell whether an entry may be the late word of an earlier start.

        A write whose answer was lost can take effect seconds later, after an
        endpoint has started again under its name. Taken at its word, all
        that is known of the new start would be dropped, and its adapters
        believed to be those of the old one. A clock that was set back gives
        a living endpoint an earlier start too; its word comes again with
        the next heartbeat, the late one does not.
        """
        known = self.rows.get(name)
        if known is None or known.incarnation == row.incarnation:
            return False
        if not _earlier(row.incarnation, known.incarnation):
            return False
        if self.doubted.get(name) == row.incarnation:
            return False
        self.doubted[name] = row.incarnation
        LOG.info(
            'entry of an earlier start',
            extra={
                'endpoint': str(row.incarnation),
                'known': str(known.incarnation),
            },
        )
        return True

    def _note_return(self) -> None:
        """Note the end of an outage before its lapses are taken in."""
        now_ms = self.time.now_ms()
        if self.read_ms is not None and now_ms - self.read_ms >= OUTAGE_MS:
            self.returned_ms = now_ms
            self.outage_ms = now_ms - self.read_ms
        self.read_ms = now_ms

    def _drop_lapsed(self) -> None:
        now_ms = self.time.now_ms()
        for name in [n for n, by_ms in self.lapsed.items() if by_ms <= now_ms]:
            late_ms = now_ms - self.lapsed.pop(name)
            row = self.rows.pop(name, None)
            if row is not None:
                LOG.info(
                    'held removal takes effect',
                    extra={'endpoint': row.instance, 'late_ms': late_ms},
                )

    def _succeeded(self, begun_ms: int, begun_offset: int | None) -> None:
        if not self.failures:
            return
        LOG.info(
            'endpoint list is read again',
            extra={
                'outage_ms': self.outage_ms,
                'failures': self.failures,
                'took_ms': self.time.now_ms() - begun_ms,
                'from_offset': begun_offset,
                'next_offset': self.next_offset,
            },
        )
        self.failures = 0

    def _failed(self, error: outgoing.CallError) -> None:
        self.failures += 1
        if self.failures > 1:
            return
        LOG.warning(
            'endpoint list can not be read',
            extra={'reason': str(error), 'age_ms': self.age_ms()},
        )


def _earlier(
    one: messages.Incarnation | None, other: messages.Incarnation | None
) -> bool:
    """Tell whether both starts are known and one is before the other."""
    if one is None or other is None:
        return False
    return 0 < one.started_ms < other.started_ms
