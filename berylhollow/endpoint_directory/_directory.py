"""Read the endpoint list and apply its records in order."""

import dataclasses
import logging
import typing

from berylhollow import clock
from berylhollow.endpoint_directory import _entries
from berylhollow.endpoint_directory import _held_removals
from berylhollow import events
from berylhollow import log_service
from berylhollow import messages
from berylhollow import outgoing

LOG = logging.getLogger(__name__)

LIST_STALE_MS = 1500
"""The list is stale when it was not read for this long, about the time between
two heartbeats of an endpoint: entries may have expired because they could not
be renewed."""

MAX_DEPARTED = 4096
"""Number of removed endpoints that are remembered."""

MAX_READS_WHILE_STALE = 4
"""Number of concurrent reads while the list is stale. A call into a network
partition takes a second to fail; a read that is begun after the partition has
ended returns the list sooner."""


class Source(typing.Protocol):
    """Store that the records are read from."""

    async def newest(self, stream: str) -> log_service.ReadResult:
        """Return the newest record of each key."""

    async def read(
        self, stream: str, from_offset: int
    ) -> log_service.ReadResult:
        """Return the records from an offset on."""


class EndpointDirectory:
    """Keeps the endpoint list by reading new records only.

    The whole list is read at the start and after a gap in the records.

    ``rows`` maps listed names to endpoints; the ``usable_until_ms`` of a row
    whose removal is held back says until when it may be used. ``unconfirmed``
    holds incarnations that were read once and appear to have started before
    the known one. ``held_removals`` decides which removals are held back after
    an outage. ``departed`` maps the names that left the list to their
    incarnations, the latest last: if the log is restored from an older copy,
    that copy may still list them.
    """

    def __init__(
        self,
        source: Source,
        stream: str,
        decode: _entries.Decode,
        time: clock.Clock,
        held_removals: _held_removals.HeldRemovals | None = None,
    ):
        self.source = source
        self.stream = stream
        self.entries = _entries.Entries(decode)
        self.time = time
        self.held_removals = held_removals or _held_removals.HeldRemovals()
        self.rows: dict[str, events.Instance] = {}
        self.unconfirmed: dict[str, messages.Incarnation] = {}
        self.departed: dict[str, messages.Incarnation | None] = {}
        self.era: int | None = None
        self.next_offset: int | None = None
        self.read_ms: int | None = None
        self.outage_ms = 0
        self.failures = 0
        self.reads_in_flight = 0

    async def list(self) -> tuple[events.Instance, ...]:
        """Read what is new and return the endpoints that are listed now.

        Raises ``outgoing.CallError`` if the store can't be read, and its
        subclass ``CallNotSent`` if too many reads are in flight.
        """
        if self.reads_in_flight >= self._max_reads():
            raise outgoing.CallNotSent('a read is under way')
        self.reads_in_flight += 1
        begun_ms = self.time.now_ms()
        begun_offset = self.next_offset
        try:
            await self._read()
        except outgoing.CallError as error:
            self._record_failure(error, begun_ms)
            raise
        finally:
            self.reads_in_flight -= 1
        self._drop_released()
        self._record_success(begun_ms, begun_offset)
        return tuple(self.rows.values())

    def age_ms(self) -> int:
        """Return the time since the list was read, -1 if it never was."""
        if self.read_ms is None:
            return -1
        return self.time.now_ms() - self.read_ms

    async def close(self) -> None:
        """Do nothing: the owner of the source closes it."""

    def _max_reads(self) -> int:
        """Return how many reads may be in flight at once.

        One, unless the list is stale. With one read only, a gateway would
        notice a second late that the store is back: it would wait for a call
        into the partition to time out, and meanwhile go on sending to
        endpoints that have left.
        """
        return MAX_READS_WHILE_STALE if self.age_ms() >= LIST_STALE_MS else 1

    async def _read(self) -> None:
        offset = self.next_offset
        result = (
            None if offset is None else await self._read_new_records(offset)
        )
        if result is None:
            result = await self.source.newest(self.stream)
            self._replace(offset, result)
            return
        if self.next_offset != offset:
            # Another read was faster and has already applied these records.
            return
        self._handle_outage_end()
        for entry, name, row in self.entries.decode_all(result.records):
            self._apply(name, row, entry.offset)
        self.next_offset = result.next_offset

    async def _read_new_records(
        self, offset: int
    ) -> log_service.ReadResult | None:
        """Return the records from an offset on; None if it is invalid."""
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
        restored = self._is_log_restored(result)
        if not restored and result.next_offset < (offset or 0):
            # The answer is older than what was read already. Applying it would
            # send requests again to endpoints that have left since.
            raise outgoing.CallNotSent('the list is older than what was read')
        self._handle_outage_end()
        if restored:
            self._hold_missing_rows(result)
        self.era = result.era
        ordered = sorted(result.records, key=lambda entry: entry.offset)
        rows = {
            name: (row, entry.offset)
            for entry, name, row in self.entries.decode_all(ordered)
            if not (restored and self._has_departed(name, row))
        }
        absent = (None, result.next_offset)
        for name in [n for n in self.rows if rows.get(n, absent)[0] is None]:
            self._apply(name, *rows.get(name, absent))
        for name, (row, written_offset) in rows.items():
            if row is not None:
                self._apply(name, row, written_offset)
        self.next_offset = result.next_offset

    def _is_log_restored(self, result: log_service.ReadResult) -> bool:
        """Tell whether the log was restored from an older copy.

        Raises ``outgoing.CallNotSent`` if the answer is from before the
        restore.
        """
        if self.era is None or result.era == self.era:
            return False
        if result.era < self.era:
            raise outgoing.CallNotSent('an answer of an earlier era')
        return True

    def _hold_missing_rows(self, result: log_service.ReadResult) -> None:
        """Hold back the removal of endpoints that the older copy lacks."""
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
        self.held_removals.log_restored(now_ms, result.next_offset)
        for name in self.held_removals.held:
            self._mark_held(name)

    def _has_departed(self, name: str, row: events.Instance | None) -> bool:
        """Tell whether a listed endpoint was already seen to leave."""
        if row is None or name in self.rows or name not in self.departed:
            return False
        if self.departed[name] != row.incarnation:
            return False
        fields = {'endpoint': row.instance}
        LOG.info('older copy lists an endpoint that left', extra=fields)
        return True

    def _apply(
        self, name: str, row: events.Instance | None, offset: int
    ) -> None:
        if row is not None and self._may_be_delayed_write(name, row):
            return
        self.unconfirmed.pop(name, None)
        if row is None:
            self._remove(name, offset)
            return
        # The row that was written last is kept last: of two incarnations at
        # one address that is the live one.
        self.rows.pop(name, None)
        self.rows[name] = row
        self.departed.pop(name, None)
        if self.held_removals.record_write(name, offset):
            fields = {'endpoint': row.instance}
            LOG.info('endpoint is listed again', extra=fields)

    def _remove(self, name: str, offset: int) -> None:
        known = self.rows.get(name)
        if known is None:
            return
        now_ms = self.time.now_ms()
        if known.leaving or not self.held_removals.may_have_expired(now_ms):
            self._forget_row(name)
            return
        if not self.held_removals.hold_back(name, offset):
            return
        self._mark_held(name)
        LOG.info(
            'removal held back',
            extra={
                'endpoint': known.instance,
                'offset': offset,
                'outage_ms': self.outage_ms,
                'hold_ms': self.held_removals.until_ms - now_ms,
            },
        )

    def _forget_row(self, name: str) -> events.Instance | None:
        row = self.rows.pop(name, None)
        if row is None:
            return None
        while len(self.departed) >= MAX_DEPARTED:
            del self.departed[next(iter(self.departed))]
        self.departed[name] = row.incarnation
        return row

    def _mark_held(self, name: str) -> None:
        until_ms = self.held_removals.until_ms
        self.rows[name] = dataclasses.replace(
            self.rows[name], usable_until_ms=until_ms
        )

    def _may_be_delayed_write(self, name: str, row: events.Instance) -> bool:
        """Tell whether an entry may be a delayed write of an earlier start.

        A write whose answer was lost can take effect seconds later, after the
        endpoint has started again under its name. Applied at once, it would
        discard all that is known of the new start, and the old start's
        adapters would be taken for those of the new one. After its clock was
        set back a live endpoint also appears to have started earlier, but it
        writes its entry again with the next heartbeat, and a delayed write is
        not repeated. An earlier start is therefore accepted when it is read
        for the second time.
        """
        known = self.rows.get(name)
        if known is None or known.incarnation == row.incarnation:
            return False
        if not _started_before(row.incarnation, known.incarnation):
            return False
        if self.unconfirmed.get(name) == row.incarnation:
            return False
        self.unconfirmed[name] = row.incarnation
        LOG.info(
            'entry of an earlier start',
            extra={
                'endpoint': str(row.incarnation),
                'known': str(known.incarnation),
            },
        )
        return True

    def _handle_outage_end(self) -> None:
        """Start the holds anew at the first read after an outage.

        Called before the records of that read are applied. If reads have
        failed, removals that are already held back are held for longer: the
        store was lost again before the endpoints had time to write. If no read
        was tried, this process was suspended; the time has passed for everyone
        else, and the holds that are over end now.
        """
        now_ms = self.time.now_ms()
        if self.age_ms() >= LIST_STALE_MS:
            self.outage_ms = self.age_ms()
            if not self.failures:
                self._drop_released()
            self.held_removals.restart_holds(now_ms)
            for name in self.held_removals.held:
                self._mark_held(name)
        self.read_ms = now_ms

    def _drop_released(self) -> None:
        """Drop the rows whose removal is no longer held back."""
        now_ms = self.time.now_ms()
        for name in self.held_removals.pop_released(now_ms):
            row = self._forget_row(name)
            if row is None:
                continue
            LOG.info(
                'held removal takes effect',
                extra={
                    'endpoint': row.instance,
                    'early_ms': row.usable_until_ms - now_ms,
                },
            )

    def _record_success(self, begun_ms: int, begun_offset: int | None) -> None:
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

    def _record_failure(
        self, error: outgoing.CallError, begun_ms: int
    ) -> None:
        if self.read_ms is not None and begun_ms <= self.read_ms:
            # A call that was begun later has read the list meanwhile.
            return
        self.failures += 1
        if self.failures > 1:
            return
        LOG.warning(
            'endpoint list can not be read',
            extra={'reason': str(error), 'age_ms': self.age_ms()},
        )


def _started_before(
    one: messages.Incarnation | None, other: messages.Incarnation | None
) -> bool:
    """Tell whether both start times are known and the first is earlier."""
    if one is None or other is None:
        return False
    return 0 < one.started_ms < other.started_ms
