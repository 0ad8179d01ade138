"""Reading the configuration from the log: newest snapshot, then entries."""

import enum
import zlib

from berylhollow.configuration import _history
from berylhollow import effects
from berylhollow import events

STREAM = 'configuration'
SNAPSHOT_STREAM = 'snapshots'
# Past any record: the log answers with its bounds and no records. Snapshots
# are large, so only the last may be read.
PAST_END = 2**62
LONG_POLL_MS = 2000
READ_TIMEOUT_MS = 8000
FIRST_PAUSE_MS = 200
LONGEST_PAUSE_MS = 2000
JITTER_STEPS = 1024


class Phase(enum.Enum):
    """What the reader waits for."""

    IDLE = 'idle'
    BOUNDS = 'bounds'
    SNAPSHOT = 'snapshot'
    ENTRIES = 'entries'


class LogReader:
    """A pure machine that reads the log into a history, one read at a time.

    ``caught_up_ms`` is when the end of the stream was last seen, None if
    never; ``failed`` tells that the last read brought nothing. ``gap`` tells
    that records are gone which no snapshot holds that was found so far.
    """

    def __init__(self, history: _history.History, name: str = ''):
        self.history = history
        self.name = name
        self.phase = Phase.IDLE
        self.follow = False
        self.wanted = False
        self.caught_up_ms: int | None = None
        self.failed = False
        self.failures = 0
        self.longest_pause_ms = LONGEST_PAUSE_MS
        self.retry_ms = 0
        self.answer_by_ms = 0
        self.snapshot_cursor: int | None = None
        self.gap = False

    def read(self, at_ms: int) -> list[effects.Effect]:
        """Read up to the end of the stream, unless that is under way."""
        self.wanted = True
        return self.tick(at_ms)

    def tick(self, at_ms: int) -> list[effects.Effect]:
        """Begin a read that is due; give one up that was never answered."""
        if self.phase is not Phase.IDLE:
            if at_ms < self.answer_by_ms:
                return []
            self.fail(at_ms)
        if not (self.wanted or self.follow) or at_ms < self.retry_ms:
            return []
        return self.begin(at_ms)

    def begin(self, at_ms: int) -> list[effects.Effect]:
        if self.history.state.next_offset == 0:
            return self.ask(at_ms, Phase.BOUNDS, PAST_END)
        return self.ask_entries(at_ms)

    def ask_entries(
        self, at_ms: int, wait_ms: int = 0
    ) -> list[effects.Effect]:
        offset = self.history.state.next_offset
        return self.ask(at_ms, Phase.ENTRIES, offset, wait_ms)

    def ask(
        self, at_ms: int, phase: Phase, offset: int, wait_ms: int = 0
    ) -> list[effects.Effect]:
        self.phase = phase
        self.answer_by_ms = at_ms + wait_ms + READ_TIMEOUT_MS
        stream = STREAM if phase is Phase.ENTRIES else SNAPSHOT_STREAM
        return [effects.ReadLog(stream, offset, wait_ms)]

    def handle(self, event: events.Event) -> list[effects.Effect]:
        """Take in what the log answered; ignore all else."""
        if isinstance(event, events.LogRead):
            if event.stream == STREAM:
                return self.entries_read(event)
            if event.stream == SNAPSHOT_STREAM:
                return self.snapshots_read(event)
        if isinstance(event, events.LogReadFailed):
            if event.stream == STREAM and self.phase is Phase.ENTRIES:
                return self.entries_failed(event)
            if event.stream == SNAPSHOT_STREAM and self.reads_snapshots():
                self.fail(event.at_ms)
        return []

    def reads_snapshots(self) -> bool:
        return self.phase in (Phase.BOUNDS, Phase.SNAPSHOT)

    def entries_read(self, event: events.LogRead) -> list[effects.Effect]:
        self.history.add(event.entries)
        if self.phase is not Phase.ENTRIES:
            # The late answer of a read that was given up.
            return []
        self.succeed()
        if event.first_offset > self.history.state.next_offset:
            return self.step_back(event.at_ms)
        if self.history.stopped:
            self.fail(event.at_ms)
            return []
        if event.entries:
            return self.ask_entries(event.at_ms)
        self.gap = False
        self.caught_up_ms = event.at_ms
        self.wanted = False
        if self.follow:
            return self.ask_entries(event.at_ms, LONG_POLL_MS)
        self.phase = Phase.IDLE
        return []

    def entries_failed(
        self, event: events.LogReadFailed
    ) -> list[effects.Effect]:
        first = event.first_offset
        if first is not None and first > self.history.state.next_offset:
            self.succeed()
            return self.step_back(event.at_ms)
        self.fail(event.at_ms)
        return []

    def step_back(self, at_ms: int) -> list[effects.Effect]:
        """Look for a snapshot that reaches what the log still keeps.

        The last one on the log need not: a process that was paused may have
        written an old one after it.
        """
        self.gap = True
        if self.snapshot_cursor is None:
            return self.ask(at_ms, Phase.BOUNDS, PAST_END)
        if self.snapshot_cursor > 0:
            self.snapshot_cursor -= 1
            return self.ask(at_ms, Phase.SNAPSHOT, self.snapshot_cursor)
        self.snapshot_cursor = None
        self.fail(at_ms)
        return []

    def snapshots_read(self, event: events.LogRead) -> list[effects.Effect]:
        installed = False
        for entry in reversed(event.entries):
            installed = self.history.install(entry.data) or installed
        if not self.reads_snapshots():
            return []
        self.succeed()
        if self.phase is Phase.BOUNDS:
            return self.bounds_read(event)
        return self.ask_entries(event.at_ms)

    def bounds_read(self, event: events.LogRead) -> list[effects.Effect]:
        if event.next_offset <= event.first_offset:
            self.snapshot_cursor = 0
            return self.ask_entries(event.at_ms)
        self.snapshot_cursor = event.next_offset - 1
        return self.ask(event.at_ms, Phase.SNAPSHOT, self.snapshot_cursor)

    def succeed(self) -> None:
        self.failed = False
        self.failures = 0

    def fail(self, at_ms: int) -> None:
        """Wait before the next read, longer each time, not in step."""
        self.phase = Phase.IDLE
        self.failed = True
        pause_ms = min(FIRST_PAUSE_MS << self.failures, self.longest_pause_ms)
        if pause_ms < self.longest_pause_ms:
            self.failures += 1
        seed = f'{self.name}/{at_ms}'.encode()
        share = (zlib.crc32(seed) % JITTER_STEPS) / JITTER_STEPS
        self.retry_ms = at_ms + pause_ms // 2 + int(pause_ms * share / 2)
