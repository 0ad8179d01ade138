"""Model of the platform's append-only log service."""

import bisect
import dataclasses

from berylhollow import log_service
from berylhollow import messages
from berylhollow.standin import failures
from berylhollow.standin import faults
from berylhollow.util import token_bucket

HOUR_MS = 3_600_000


@dataclasses.dataclass(frozen=True)
class LogLimits:
    """Append rate and retention time of the log.

    Rate and burst apply to all streams together. ``slow_ms`` is the delay of
    every call while the log is slow.
    """

    appends_per_s: float = 400
    burst: int = 400
    retention_ms: int = 24 * HOUR_MS
    slow_ms: int = 2000


class Stream:
    """Records of one stream; offsets begin at 0 and have no gaps."""

    def __init__(self):
        self.records: list[messages.LogEntry] = []
        self.retired = 0
        self.first_offset = 0
        self.next_offset = 0

    def append(self, data: bytes, now_ms: int) -> int:
        offset = self.next_offset
        self.records.append(messages.LogEntry(offset, now_ms, data))
        self.next_offset += 1
        return offset

    def retire(self, before_ms: int) -> None:
        """Retire the records older than ``before_ms``."""
        while (
            self.retired < len(self.records)
            and self.records[self.retired].at_ms < before_ms
        ):
            self.retired += 1
        self.first_offset = self.next_offset - (
            len(self.records) - self.retired
        )
        if self.retired * 2 > len(self.records):
            del self.records[: self.retired]
            self.retired = 0

    def slice(self, from_offset: int, limit: int) -> tuple:
        start = bisect.bisect_left(
            self.records, from_offset, lo=self.retired, key=_offset
        )
        return tuple(self.records[start : start + limit])


def _offset(record: messages.LogEntry) -> int:
    return record.offset


class LogModel:
    """Streams of records with a shared append rate and a retention time."""

    def __init__(
        self,
        log_limits: LogLimits | None = None,
        switches: faults.FaultSwitches | None = None,
    ):
        self.limits = log_limits or LogLimits()
        self.faults = switches or faults.FaultSwitches()
        self.bucket = token_bucket.TokenBucket(
            self.limits.appends_per_s, self.limits.burst
        )
        self.streams: dict[str, Stream] = {}

    def append(self, stream: str, data: bytes, now_ms: int) -> int:
        """Append a record and return its offset.

        Raises ``Unavailable`` or ``RateLimited`` if nothing was appended and
        ``AnswerLost`` if it was, but the response is to be lost.
        """
        self.check_available(now_ms)
        if not self.bucket.try_take(now_ms):
            raise failures.RateLimited('too many appends')
        offset = self.retained(stream, now_ms).append(data, now_ms)
        if self.faults.active(faults.PlatformFault.APPEND_ANSWER_LOST, now_ms):
            raise failures.AnswerLost(f'offset {offset}')
        return offset

    def read(
        self, stream: str, from_offset: int, limit: int, now_ms: int
    ) -> log_service.ReadResult:
        """Return up to ``limit`` records from an offset onwards.

        An offset past the end gives no records. ``next_offset`` is the end
        of the stream, not of the part that was read. Raises ``Unavailable``,
        and ``OffsetGone`` for an offset that was retired.
        """
        self.check_available(now_ms)
        kept = self.retained(stream, now_ms)
        if from_offset < kept.first_offset:
            raise failures.OffsetGone(kept.first_offset)
        return log_service.ReadResult(
            kept.slice(from_offset, limit), kept.first_offset, kept.next_offset
        )

    def delay_ms(self, now_ms: int) -> int:
        """Return the delay before a call made now takes effect."""
        if self.faults.active(faults.PlatformFault.LOG_SLOW, now_ms):
            return self.limits.slow_ms
        return 0

    def check_available(self, now_ms: int) -> None:
        """Raise ``Unavailable`` during an outage."""
        if self.faults.active(faults.PlatformFault.LOG_DOWN, now_ms):
            raise failures.Unavailable('the log is down')

    def retained(self, stream: str, now_ms: int) -> Stream:
        """Return the stream without the records past their retention."""
        kept = self.streams.setdefault(stream, Stream())
        kept.retire(now_ms - self.limits.retention_ms)
        return kept
