"""Structured logs on stderr: one JSON object per line."""

import atexit
import collections.abc
import datetime
import logging
import queue
import sys
import threading
import time
import typing

import pythonjsonlogger.json

LOG = logging.getLogger(__name__)

MAX_QUEUED_LINES = 10_000
MAX_LINES_PER_S = 500
"""Limits floods of lines: at this rate, logging takes 3% of a core at most. A
gateway writes about three lines per request and serves some tens of requests
a second, so ordinary load stays below it."""

FLUSH_TIMEOUT_S = 2.0

RENAMED_FIELDS = {
    'asctime': 'time',
    'levelname': 'level',
    'name': 'logger',
}
# Logging raises if ``extra`` has a key that is an attribute of a log record.
RECORD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {
    'message',
    'asctime',
}


class Formatter(pythonjsonlogger.json.JsonFormatter):
    """Formats a record as JSON, with its time in UTC to the millisecond."""

    def formatTime(  # noqa: N802 - overrides a method of logging
        self, record: logging.LogRecord, datefmt: str | None = None
    ) -> str:
        utc_time = datetime.datetime.fromtimestamp(
            record.created, datetime.UTC
        )
        return utc_time.isoformat(timespec='milliseconds').replace(
            '+00:00', 'Z'
        )


class QueuedHandler(logging.Handler):
    """Writes lines in a separate thread and drops them if its queue is full.

    Standard error may be a pipe whose reader has stalled. A write then
    blocks, and a write from the event loop would block every request.
    """

    def __init__(self, stream: typing.TextIO, limit: int = MAX_QUEUED_LINES):
        super().__init__()
        self.stream = stream
        self.dropped = 0
        self.lines: queue.Queue[str | None] = queue.Queue(limit)
        self.writer = threading.Thread(
            target=self._write, name='logs', daemon=True
        )
        self.writer.start()

    def emit(self, record: logging.LogRecord) -> None:
        try:
            self.lines.put_nowait(self.format(record))
        except queue.Full:
            self.dropped += 1
        except Exception:
            self.handleError(record)

    def _write(self) -> None:
        while (line := self.lines.get()) is not None:
            self.stream.write(f'{line}\n')
            if self.lines.empty():
                self.stream.flush()

    def close(self) -> None:
        """Write the queued lines, but give up soon on a stalled reader."""
        try:
            self.lines.put(None, timeout=FLUSH_TIMEOUT_S)
            self.writer.join(FLUSH_TIMEOUT_S)
        except queue.Full:
            pass
        super().close()


class RateLimitFilter(logging.Filter):
    """Limits the lines per second and reports how many it has dropped.

    A flood of lines would take processor time from requests. Each line costs
    about 60 microseconds, so the limit keeps logging to a few percent of a
    core. Warnings and errors have a separate limit, so that a flood of
    ordinary lines does not displace them.
    """

    def __init__(
        self,
        lines_per_s: int = MAX_LINES_PER_S,
        now_s: collections.abc.Callable[[], float] = time.monotonic,
    ):
        super().__init__()
        self.lines_per_s = lines_per_s
        self.now_s = now_s
        self.second = 0
        self.passed_by_severity = {False: 0, True: 0}
        self.suppressed = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Tell whether to write a line; add the count of dropped ones."""
        second = int(self.now_s())
        if second != self.second:
            self._start_second(second, record)
        is_severe = record.levelno >= logging.WARNING
        if self.passed_by_severity[is_severe] >= self.lines_per_s:
            self.suppressed += 1
            return False
        self.passed_by_severity[is_severe] += 1
        return True

    def _start_second(self, second: int, record: logging.LogRecord) -> None:
        self.second = second
        self.passed_by_severity = {False: 0, True: 0}
        if self.suppressed:
            record.lines_left_out = self.suppressed
            self.suppressed = 0


def configure(
    level: str,
    role: str,
    instance: str,
    stream: typing.TextIO | None = None,
) -> QueuedHandler:
    """Send all logs of the process to stderr as JSON.

    ``level`` is one of ``settings.LogLevel``. A second call replaces the
    handler of the first.
    """
    handler = QueuedHandler(stream or sys.stderr)
    handler.addFilter(RateLimitFilter())
    handler.setFormatter(
        Formatter(
            ['asctime', 'levelname', 'name', 'message'],
            rename_fields=RENAMED_FIELDS,
            static_fields={'role': role, 'instance': instance},
        )
    )
    root = logging.getLogger()
    for old in root.handlers[:]:
        root.removeHandler(old)
        old.close()
    root.addHandler(handler)
    root.setLevel(level.upper())
    # The library logs every connection at INFO, the level of our request
    # lines. The ``link`` package logs the relevant events itself.
    logging.getLogger('websockets').setLevel(logging.WARNING)
    atexit.register(handler.close)
    return handler


def dropped_line_count() -> int:
    """Return the number of log lines that this process has dropped."""
    return sum(
        handler.dropped
        for handler in logging.getLogger().handlers
        if isinstance(handler, QueuedHandler)
    )


def extra_fields(
    fields: collections.abc.Iterable[tuple[str, object]],
) -> dict[str, object]:
    """Return fields as the ``extra`` of a logging call, without None values.

    Names that are attributes of log records get the prefix ``field_``, since
    logging raises for them.
    """
    return {
        f'field_{name}' if name in RECORD_ATTRIBUTES else name: value
        for name, value in fields
        if value is not None
    }
