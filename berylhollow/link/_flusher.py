"""Flush many links from one timer."""

import asyncio
import logging
import typing

LOG = logging.getLogger(__name__)

MILLISECONDS = 1000


class Flushable(typing.Protocol):
    """What can be flushed."""

    def flush(self) -> None:
        """Write what is queued."""


class Flusher:
    """Call ``flush`` of whoever asked, ``delay_ms`` after the first did.

    A batch of an engine fills many links at once: one timer for all of them
    costs far less than one each. A delay of 0 flushes at the end of the
    event loop's iteration.
    """

    def __init__(self, delay_ms: float):
        self.delay = delay_ms / MILLISECONDS
        self.waiting: list[Flushable] = []

    def add(self, item: Flushable) -> None:
        """Have ``item`` flushed; the caller sees to it that it asks once."""
        if not self.waiting:
            self._start()
        self.waiting.append(item)

    def _start(self):
        loop = asyncio.get_running_loop()
        if self.delay > 0:
            loop.call_later(self.delay, self._flush)
        else:
            loop.call_soon(self._flush)

    def _flush(self):
        waiting = self.waiting
        self.waiting = []
        for item in waiting:
            # A defect in one must not keep the others waiting forever.
            try:
                item.flush()
            except Exception:
                LOG.exception('flush failed')
