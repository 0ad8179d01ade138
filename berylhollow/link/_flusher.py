"""Flush many links from one timer."""

import asyncio
import logging
import typing

LOG = logging.getLogger(__name__)

MILLISECONDS = 1000

PROMPT_ROUNDS = 4
"""Enough for the steps of one request, few enough to share a round."""


class Flushable(typing.Protocol):
    """What can be flushed."""

    def flush(self) -> None:
        """Write what is queued."""


class Flusher:
    """Call ``flush`` of whoever asked, in few rounds for all of them.

    A batch of an engine fills many links at once: one round for all of them
    costs far less than one each. The first ``PROMPT_ROUNDS`` in any
    ``delay_ms`` come at the end of the event loop's iteration, so that a
    request on quiet links is not held up at each of its steps; what asks
    after them waits for the end of that time. With a delay of 0 none waits.
    """

    def __init__(self, delay_ms: float):
        self.delay = delay_ms / MILLISECONDS
        self.waiting: list[Flushable] = []
        self.window_ends = 0.0
        self.rounds = 0

    def add(self, item: Flushable) -> None:
        """Have ``item`` flushed; the caller sees to it that it asks once."""
        if not self.waiting:
            self._start()
        self.waiting.append(item)

    def _start(self):
        loop = asyncio.get_running_loop()
        now = loop.time()
        if now >= self.window_ends:
            self.window_ends = now + self.delay
            self.rounds = 0
        self.rounds += 1
        if self.rounds <= PROMPT_ROUNDS:
            loop.call_soon(self._flush)
        else:
            loop.call_at(self.window_ends, self._flush)

    def _flush(self):
        waiting = self.waiting
        self.waiting = []
        for item in waiting:
            # A defect in one must not keep the others waiting forever.
            try:
                item.flush()
            except Exception:
                LOG.exception('flush failed')
