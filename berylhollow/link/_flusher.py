"""Flush many links together in shared rounds."""

import asyncio
import logging
import typing

LOG = logging.getLogger(__name__)

MILLISECONDS = 1000

IMMEDIATE_ROUNDS = 4
"""Rounds per delay that run without waiting for it.

They suffice for the steps of one request, and are few enough that the
tokens of many streams still share a round.
"""


class Flushable(typing.Protocol):
    """An object with queued data to write."""

    def flush(self) -> None:
        """Write the queued data."""


class Flusher:
    """Flush the registered items together, in few rounds.

    A batch of an engine fills the queues of many links at once, and one
    round for all of them costs far less than one callback each. The first
    ``IMMEDIATE_ROUNDS`` rounds in each window of ``delay_ms`` run at the end
    of the current event loop iteration, so that a request on idle links is
    not delayed at each of its steps. Later items wait for the end of the
    window. With a delay of 0 no item waits.
    """

    def __init__(self, delay_ms: float):
        self.delay = delay_ms / MILLISECONDS
        self.waiting: list[Flushable] = []
        self.window_end = 0.0
        self.rounds = 0

    def add(self, item: Flushable) -> None:
        """Flush ``item`` in the next round.

        The caller must not add an item again before it was flushed.
        """
        if not self.waiting:
            self._schedule_round()
        self.waiting.append(item)

    def _schedule_round(self):
        loop = asyncio.get_running_loop()
        now = loop.time()
        if now >= self.window_end:
            self.window_end = now + self.delay
            self.rounds = 0
        self.rounds += 1
        if self.rounds <= IMMEDIATE_ROUNDS:
            loop.call_soon(self._flush_waiting)
        else:
            loop.call_at(self.window_end, self._flush_waiting)

    def _flush_waiting(self):
        waiting = self.waiting
        self.waiting = []
        for item in waiting:
            # An exception from one item must not leave the others unflushed.
            try:
                item.flush()
            except Exception:
                LOG.exception('flush failed')
