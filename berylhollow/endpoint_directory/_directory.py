"""Reading the list of endpoints, and what each record changes in it."""

import dataclasses
import logging
import typing

from berylhollow import clock
from berylhollow.endpoint_directory import _entries
from berylhollow.endpoint_directory import _lapses
from berylhollow import events
from berylhollow import log_service
from berylhollow import messages
from berylhollow import outgoing

LOG = logging.getLogger(__name__)

LOST_MS = 1500
"""Without a read for so long, entries may have lapsed for want of renewal:
about the time between two heartbeats of an endpoint."""

MOST_DEPARTED = 4096
"""Endpoints that are remembered as having left."""

MOST_READS = 4
"""Reads that may be under way while the list is lost: a call into a cut takes
a second to fail, and the one that is begun after it brings the list."""


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

    ``rows`` are by the name that an endpoint is listed under; those whose
    removal is held back say until when they may be used. ``doubted`` holds
    what was said once of an earlier start than the one that is known.
    ``lapses`` decides which removals are held back after an outage.
    ``departed`` has the incarnations that left the list, the latest last:
    an older copy of it that the log comes back from may have them still.
    """

    def __init__(
        self,
        source: Source,
        stream: str,
        decode: _entries.Decode,
        time: clock.Clock,
        lapses: _lapses.Lapses | None = None,
    ):
        self.source = source
        self.stream = stream
        self.entries = _entries.Entries(decode)
        self.time = time
        self.lapses = lapses or _lapses.Lapses()
        self.rows: dict[str, events.Instance] = {}
        self.doubted: dict[str, messages.Incarnation] = {}
        self.departed: dict[str, messages.Incarnation | None] = {}
        self.era: int | None = None
        self.next_offset: int | None = None
        self.read_ms: int | None = None
        self.outage_ms = 0
        self.failures = 0
        self.reads = 0

    async def list(self) -> tuple[events.Instance, ...]:
        """Return the endpoints as listed now.

        Raises ``outgoing.CallError`` if the store can't be read, and
        ``NotDone`` while as many reads are under way as may be.
        """
        if self.reads >= self._most_reads():
            raise outgoing.NotDone('a read is under way')
        self.reads += 1
        begun_ms = self.time.now_ms()
        begun_offset = self.next_offset
        try:
            await self._read()
        except outgoing.CallError as error:
            self._failed(error, begun_ms)
            raise
        finally:
            self.reads -= 1
        self._drop_removed()
        self._succeeded(begun_ms, begun_offset)
        return tuple(self.rows.values())

    def age_ms(self) -> int:
        """Return how long ago the list was read, -1 if it never was."""
        if self.read_ms is None:
            return -1
        return self.time.now_ms() - self.read_ms

    async def close(self) -> None:
        """Nothing to close: the source belongs to whoever made it."""

    def _most_reads(self) -> int:
        """Return how many reads may be under way at once.

        One, as long as it answers. Guards against a gateway that learns a
        second late that its store is back: it waits out a call into the cut,
        and goes on meanwhile to send to endpoints that have left.
        """
        return MOST_READS if self.age_ms() >= LOST_MS else 1

    async def _read(self) -> None:
        offset = self.next_offset
        result = None if offset is None else await self._news(offset)
        if result is None:
            result = await self.source.newest(self.stream)
            self._replace(offset, result)
            return
        if self.next_offset != offset:
            # Another read was quicker, and has taken these records in.
            return
        self._note_return()
        for entry, name, row in self.entries.decoded(result.records):
            self._take(name, row, entry.offset)
        self.next_offset = result.next_offset

    async def _news(self, offset: int) -> log_service.ReadResult | None:
        """Return what follows an offset, None if it does not hold any more."""
        try:
            result = await self.source.read(self.stream, offset)
        except log_service.OffsetGone:
            LOG.warning('history was dropped', extra={'stream': self.stream})
            return None
        return result if result.era == self.era else None

    def _replace(
        self, offset: int | None, result: log_service.ReadResult
    ) -> None:
        if self.next_offset != offset:
            return
        came_back = self._came_back(result)
        if not came_back and result.next_offset < (offset or 0):
            # An answer from before what was read already: taken in, endpoints
            # that have left since would be sent requests again.
            raise outgoing.NotDone('the list is older than what was read')
        self._note_return()
        if came_back:
            self._log_came_back(result)
        self.era = result.era
        ordered = sorted(result.records, key=lambda entry: entry.offset)
        rows = {
            name: (row, entry.offset)
            for entry, name, row in self.entries.decoded(ordered)
            if not (came_back and self._has_departed(name, row))
        }
        absent = (None, result.next_offset)
        for name in [n for n in self.rows if rows.get(n, absent)[0] is None]:
            self._take(name, *rows.get(name, absent))
        for name, (row, written_offset) in rows.items():
            if row is not None:
                self._take(name, row, written_offset)
        self.next_offset = result.next_offset

    def _came_back(self, result: log_service.ReadResult) -> bool:
        """Tell whether the log came back from an older copy.

        Raises ``outgoing.NotDone`` for an answer from before that.
        """
        if self.era is None or result.era == self.era:
            return False
        if result.era < self.era:
            raise outgoing.NotDone('an answer of an earlier era')
        return True

    def _log_came_back(self, result: log_service.ReadResult) -> None:
        """Take what the older copy lacks for a lapse until it is written."""
        now_ms = self.time.now_ms()
        LOG.warning(
            'list came back from an older copy',
            extra={
                'era': result.era,
                'era_before': self.era,
                'next_offset': result.next_offset,
                'next_offset_before': self.next_offset,
                'endpoints': len(self.rows),
            },
        )
        self.lapses.log_came_back(now_ms, result.next_offset)
        for name in self.lapses.held:
            self._mark_held(name)

    def _has_departed(self, name: str, row: events.Instance | None) -> bool:
        """Tell whether an older copy lists an endpoint that we saw leave."""
        if row is None or name in self.rows or name not in self.departed:
            return False
        if self.departed[name] != row.incarnation:
            return False
        fields = {'endpoint': row.instance}
        LOG.info('endpoint left before the copy was made', extra=fields)
        return True

    def _take(
        self, name: str, row: events.Instance | None, offset: int
    ) -> None:
        if row is not None and self._doubtful(name, row):
            return
        self.doubted.pop(name, None)
        if row is None:
            self._remove(name, offset)
            return
        # Whoever wrote last comes last: of two incarnations at one address
        # that is the one that lives.
        self.rows.pop(name, None)
        self.rows[name] = row
        self.departed.pop(name, None)
        if self.lapses.wrote(name, offset):
            fields = {'endpoint': row.instance}
            LOG.info('endpoint is listed again', extra=fields)

    def _remove(self, name: str, offset: int) -> None:
        known = self.rows.get(name)
        if known is None:
            return
        now_ms = self.time.now_ms()
        if known.leaving or not self.lapses.may_be_lapse(now_ms):
            self._depart(name)
            return
        if not self.lapses.hold_back(name, offset):
            return
        self._mark_held(name)
        LOG.info(
            'removal held back',
            extra={
                'endpoint': known.instance,
                'offset': offset,
                'outage_ms': self.outage_ms,
                'hold_ms': self.lapses.until_ms - now_ms,
            },
        )

    def _depart(self, name: str) -> events.Instance | None:
        row = self.rows.pop(name, None)
        if row is None:
            return None
        while len(self.departed) >= MOST_DEPARTED:
            del self.departed[next(iter(self.departed))]
        self.departed[name] = row.incarnation
        return row

    def _mark_held(self, name: str) -> None:
        until_ms = self.lapses.until_ms
        self.rows[name] = dataclasses.replace(
            self.rows[name], until_ms=until_ms
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
        """Note the end of an outage before its lapses are taken in.

        What is held back is so for longer if reads have failed: a store that
        was lost again gave nobody the time to come back. If none was tried,
        we stood still ourselves and the time has passed for all others.
        """
        now_ms = self.time.now_ms()
        if self.age_ms() >= LOST_MS:
            self.outage_ms = self.age_ms()
            if not self.failures:
                self._drop_removed()
            self.lapses.returned(now_ms)
            for name in self.lapses.held:
                self._mark_held(name)
        self.read_ms = now_ms

    def _drop_removed(self) -> None:
        """Drop the rows whose removal is held back no more."""
        now_ms = self.time.now_ms()
        for name in self.lapses.end_holds(now_ms):
            row = self._depart(name)
            if row is None:
                continue
            LOG.info(
                'held removal takes effect',
                extra={
                    'endpoint': row.instance,
                    'early_ms': row.until_ms - now_ms,
                },
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

    def _failed(self, error: outgoing.CallError, begun_ms: int) -> None:
        if self.read_ms is not None and begun_ms <= self.read_ms:
            # The list was read meanwhile, by a call that was begun later.
            return
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
