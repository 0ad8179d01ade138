"""Reads the newest snapshot and the following entries from the log."""

import enum
import zlib

from berylhollow.configuration import _history
from berylhollow import effects
from berylhollow import events

STREAM = 'configuration'
SNAPSHOT_STREAM = 'snapshots'
# A read at an offset after all records returns the bounds of the stream and
# no records. With the bounds, only the last snapshot is read, as snapshots
# are large.
OFFSET_PAST_END = 2**62
LONG_POLL_MS = 2000
READ_TIMEOUT_MS = 8000
FIRST_PAUSE_MS = 200
MAX_RETRY_PAUSE_MS = 2000
JITTER_STEPS = 1024


class Phase(enum.Enum):
    """The kind of read that is in flight."""

    IDLE = 'idle'
    BOUNDS = 'bounds'
    SNAPSHOT = 'snapshot'
    ENTRIES = 'entries'


class LogReader:
    """A state machine that reads the log into a history, one read at a time.

    It performs no I/O but returns effects. ``wanted`` asks for a read up to
    the end of the stream, ``follow`` for reading on after it. ``caught_up_ms``
    is when the end was last reached, None if never. ``gap`` is set while the
    log has dropped records that no snapshot found so far includes.
    """

    def __init__(self, history: _history.History, name: str = ''):
        self.history = history
        self.name = name
        self.phase = Phase.IDLE
        self.follow = False
        self.wanted = False
        self.caught_up_ms: int | None = None
        self.last_read_failed = False
        self.failures = 0
        self.max_pause_ms = MAX_RETRY_PAUSE_MS
        self.retry_at_ms = 0
        self.read_deadline_ms = 0
        self.snapshot_cursor: int | None = None
        self.gap = False

    def read(self, at_ms: int) -> list[effects.Effect]:
        """Read up to the end of the stream, unless a read is in flight."""
        self.wanted = True
        return self.tick(at_ms)

    def tick(self, at_ms: int) -> list[effects.Effect]:
        """Start a read that is due and time out one without an answer."""
        if self.phase is not Phase.IDLE:
            if at_ms < self.read_deadline_ms:
                return []
            self.schedule_retry(at_ms)
        if not (self.wanted or self.follow) or at_ms < self.retry_at_ms:
            return []
        return self.start_read(at_ms)

    def start_read(self, at_ms: int) -> list[effects.Effect]:
        if self.history.state.next_offset == 0:
            return self.send_read(at_ms, Phase.BOUNDS, OFFSET_PAST_END)
        return self.read_entries(at_ms)

    def read_entries(
        self, at_ms: int, wait_ms: int = 0
    ) -> list[effects.Effect]:
        offset = self.history.state.next_offset
        return self.send_read(at_ms, Phase.ENTRIES, offset, wait_ms)

    def send_read(
        self, at_ms: int, phase: Phase, offset: int, wait_ms: int = 0
    ) -> list[effects.Effect]:
        self.phase = phase
        self.read_deadline_ms = at_ms + wait_ms + READ_TIMEOUT_MS
        stream = STREAM if phase is Phase.ENTRIES else SNAPSHOT_STREAM
        return [effects.ReadLog(stream, offset, wait_ms)]

    def handle(self, event: events.Event) -> list[effects.Effect]:
        """Handle the answer to a read; ignore all other events."""
        if isinstance(event, events.LogRead):
            if event.stream == STREAM:
                return self.handle_entries(event)
            if event.stream == SNAPSHOT_STREAM:
                return self.handle_snapshots(event)
        if isinstance(event, events.LogReadFailed):
            if event.stream == STREAM and self.phase is Phase.ENTRIES:
                return self.handle_entries_failure(event)
            if event.stream == SNAPSHOT_STREAM and self.is_reading_snapshots():
                self.schedule_retry(event.at_ms)
        return []

    def is_reading_snapshots(self) -> bool:
        return self.phase in (Phase.BOUNDS, Phase.SNAPSHOT)

    def handle_entries(self, event: events.LogRead) -> list[effects.Effect]:
        self.history.add(event.entries)
        if self.phase is not Phase.ENTRIES:
            # A late answer to a read that has timed out.
            return []
        self.reset_failures()
        if event.first_offset > self.history.state.next_offset:
            return self.read_earlier_snapshot(event.at_ms)
        if self.history.stopped:
            self.schedule_retry(event.at_ms)
            return []
        if event.entries:
            return self.read_entries(event.at_ms)
        self.gap = False
        self.caught_up_ms = event.at_ms
        self.wanted = False
        if self.follow:
            return self.read_entries(event.at_ms, LONG_POLL_MS)
        self.phase = Phase.IDLE
        return []

    def handle_entries_failure(
        self, event: events.LogReadFailed
    ) -> list[effects.Effect]:
        first = event.first_offset
        if first is not None and first > self.history.state.next_offset:
            self.reset_failures()
            return self.read_earlier_snapshot(event.at_ms)
        self.schedule_retry(event.at_ms)
        return []

    def read_earlier_snapshot(self, at_ms: int) -> list[effects.Effect]:
        """Search backwards for a snapshot that leaves no gap to the log.

        The last snapshot may be too old: a process that was paused may have
        written an outdated one after a newer one.
        """
        self.gap = True
        if self.snapshot_cursor is None:
            return self.send_read(at_ms, Phase.BOUNDS, OFFSET_PAST_END)
        if self.snapshot_cursor > 0:
            self.snapshot_cursor -= 1
            return self.send_read(at_ms, Phase.SNAPSHOT, self.snapshot_cursor)
        self.snapshot_cursor = None
        self.schedule_retry(at_ms)
        return []

    def handle_snapshots(self, event: events.LogRead) -> list[effects.Effect]:
        installed = False
        for entry in reversed(event.entries):
            installed = self.history.install(entry.data) or installed
        if not self.is_reading_snapshots():
            return []
        self.reset_failures()
        if self.phase is Phase.BOUNDS:
            return self.handle_bounds(event)
        return self.read_entries(event.at_ms)

    def handle_bounds(self, event: events.LogRead) -> list[effects.Effect]:
        if event.next_offset <= event.first_offset:
            self.snapshot_cursor = 0
            return self.read_entries(event.at_ms)
        self.snapshot_cursor = event.next_offset - 1
        return self.send_read(
            event.at_ms, Phase.SNAPSHOT, self.snapshot_cursor
        )

    def reset_failures(self) -> None:
        self.last_read_failed = False
        self.failures = 0

    def schedule_retry(self, at_ms: int) -> None:
        """Schedule the next read with exponential back-off and jitter."""
        self.phase = Phase.IDLE
        self.last_read_failed = True
        pause_ms = min(FIRST_PAUSE_MS << self.failures, self.max_pause_ms)
        if pause_ms < self.max_pause_ms:
            self.failures += 1
        seed = f'{self.name}/{at_ms}'.encode()
        jitter = (zlib.crc32(seed) % JITTER_STEPS) / JITTER_STEPS
        self.retry_at_ms = at_ms + pause_ms // 2 + int(pause_ms * jitter / 2)
