"""Structured logs: one JSON object a line on stderr."""

import atexit
import collections.abc
import datetime
import logging
import queue
import sys
import threading
import typing

import pythonjsonlogger.json

LOG = logging.getLogger(__name__)

QUEUE_LINES = 10_000
FLUSH_S = 2.0

RENAMED = {
    'asctime': 'time',
    'levelname': 'level',
    'name': 'logger',
}
# ``extra`` may not hold a key that a log record has of its own.
RECORD_KEYS = frozenset(vars(logging.makeLogRecord({}))) | {
    'message',
    'asctime',
}


class Formatter(pythonjsonlogger.json.JsonFormatter):
    """A line with the time in UTC, to the millisecond."""

    def formatTime(  # noqa: N802 - the name that logging calls
        self, record: logging.LogRecord, datefmt: str | None = None
    ) -> str:
        time = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        return time.isoformat(timespec='milliseconds').replace('+00:00', 'Z')


class QueuedHandler(logging.Handler):
    """Write lines from a thread of its own; drop them when it falls behind.

    Standard error may be a pipe whose reader has stalled. A write to it then
    blocks, and from the event loop it would block every request with it.
    """

    def __init__(self, stream: typing.TextIO, limit: int = QUEUE_LINES):
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
        """Write what is queued, but don't wait on a stalled reader."""
        try:
            self.lines.put(None, timeout=FLUSH_S)
            self.writer.join(FLUSH_S)
        except queue.Full:
            pass
        super().close()


def configure(
    level: str,
    role: str,
    instance: str,
    stream: typing.TextIO | None = None,
) -> QueuedHandler:
    """Send all logs of the process to stderr as JSON.

    ``level`` is one of ``settings.LogLevel``. Called again, it replaces the
    handler that was there.
    """
    handler = QueuedHandler(stream or sys.stderr)
    handler.setFormatter(
        Formatter(
            ['asctime', 'levelname', 'name', 'message'],
            rename_fields=RENAMED,
            static_fields={'role': role, 'instance': instance},
        )
    )
    root = logging.getLogger()
    for old in root.handlers[:]:
        root.removeHandler(old)
        old.close()
    root.addHandler(handler)
    root.setLevel(level.upper())
    # It tells of each connection at the level at which we tell of requests;
    # our links say what matters of theirs.
    logging.getLogger('websockets').setLevel(logging.WARNING)
    atexit.register(handler.close)
    return handler


def dropped() -> int:
    """Return how many lines this process has dropped."""
    return sum(
        handler.dropped
        for handler in logging.getLogger().handlers
        if isinstance(handler, QueuedHandler)
    )


def extra(
    fields: collections.abc.Iterable[tuple[str, object]],
) -> dict[str, object]:
    """Return fields as the ``extra`` of a logging call, without None.

    A name that a log record has of its own gets ``field_`` before it, where
    logging would raise.
    """
    return {
        f'field_{name}' if name in RECORD_KEYS else name: value
        for name, value in fields
        if value is not None
    }
