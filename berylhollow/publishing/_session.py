"""Read the configuration from the log service for operators' commands."""

import asyncio
import collections.abc

from berylhollow import clock as clocks
from berylhollow import configuration
from berylhollow import effects
from berylhollow import events
from berylhollow import log_service
from berylhollow import messages
from berylhollow import outgoing
from berylhollow.util import exits

POLL_INTERVAL_MS = 50
MAX_KEPT_VERDICTS = 100_000

Sleep = collections.abc.Callable[[int], collections.abc.Awaitable[None]]


class UnavailableError(exits.UserError):
    """The log can't be read, or lacks the required records."""

    def __init__(self, message: str):
        super().__init__(message, exits.ExitCode.UNAVAILABLE)


async def sleep_ms(duration_ms: int) -> None:
    """Sleep for a duration."""
    await asyncio.sleep(duration_ms / clocks.MS_PER_SECOND)


class Session:
    """A connection to the log and the configuration history read from it.

    What to read is determined by ``configuration.LogReader``, the same state
    machine that gateways and sidecars run. ``sleep`` takes milliseconds.
    """

    def __init__(
        self,
        log: log_service.LogClient,
        clock: clocks.Clock | None = None,
        sleep: Sleep = sleep_ms,
    ):
        self.log = log
        self.sleep = sleep
        self.clock = clock or clocks.MonotonicClock()
        self.history = configuration.History(MAX_KEPT_VERDICTS)
        self.reader = configuration.LogReader(self.history)

    @property
    def state(self) -> configuration.State:
        return self.history.state

    async def catch_up(self, timeout_ms: int) -> None:
        """Read to the end of the log.

        Raises ``UnavailableError`` if that takes longer than the timeout.
        """
        deadline_ms = self.clock.now_ms() + timeout_ms
        self.reader.caught_up_ms = None
        pending_reads = self.reader.read(self.clock.now_ms())
        while self.reader.caught_up_ms is None:
            for effect in pending_reads:
                event = await self.read_once(effect)
                pending_reads = self.reader.handle(event)
            self.raise_if_unreadable(deadline_ms)
            if not pending_reads and self.reader.caught_up_ms is None:
                await self.sleep(POLL_INTERVAL_MS)
                pending_reads = self.reader.tick(self.clock.now_ms())

    def raise_if_unreadable(self, deadline_ms: int) -> None:
        """Raise ``UnavailableError`` if reading can't succeed any more.

        This is so at a change that needs newer software and once the deadline
        has passed.
        """
        if self.history.stopped:
            raise UnavailableError(
                f'the log holds a change that this version cannot evaluate: '
                f'{self.history.stopped}'
            )
        is_late = self.clock.now_ms() >= deadline_ms
        if is_late and self.reader.caught_up_ms is None:
            raise UnavailableError(self.unavailable_reason())

    def unavailable_reason(self) -> str:
        if self.reader.gap:
            return (
                'the log no longer holds the changes from offset '
                f'{self.state.next_offset} on, and no snapshot of them was '
                'found'
            )
        return 'the log cannot be read at present'

    async def find_change(self, change_id: str) -> int | None:
        """Return the offset of the first record of a change, None if missing.

        Records that the log has already deleted are not found.
        """
        offset = 0
        while True:
            event = await self.read_once(
                effects.ReadLog(configuration.STREAM, offset)
            )
            if isinstance(event, events.LogRead):
                if not event.entries:
                    return None
                for entry in event.entries:
                    if _change_id(entry) == change_id:
                        return entry.offset
                offset = event.entries[-1].offset + 1
            elif event.first_offset is not None:
                offset = event.first_offset
            else:
                raise UnavailableError(self.unavailable_reason())

    async def read_once(
        self, read: effects.ReadLog
    ) -> events.LogRead | events.LogReadFailed:
        """Execute one read of the log and return its result as an event."""
        try:
            result = await self.log.read(read.stream, read.from_offset)
        except log_service.OffsetGone as gone:
            return events.LogReadFailed(
                self.clock.now_ms(), read.stream, gone.first_offset
            )
        except outgoing.CallError:
            return events.LogReadFailed(self.clock.now_ms(), read.stream)
        entries = result.records
        return events.LogRead(
            self.clock.now_ms(),
            read.stream,
            entries,
            result.first_offset,
            result.next_offset,
        )


def _change_id(entry: messages.LogEntry) -> str | None:
    try:
        return configuration.decode_change(entry.data).change_id
    except (configuration.MalformedRecord, configuration.UnknownRule):
        return None
