"""The running tasks of a shell."""

import asyncio
import collections.abc
import logging

LOG = logging.getLogger(__name__)


class Tasks:
    """Holds references to running tasks and logs those that fail."""

    def __init__(self):
        self.running: set[asyncio.Task] = set()

    def start(self, coroutine: collections.abc.Coroutine) -> asyncio.Task:
        """Start a task; an exception that it does not handle is a bug."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.running.add(task)
        task.add_done_callback(self._done)
        return task

    async def stop(self) -> None:
        """Cancel all running tasks and wait until they have ended."""
        tasks = tuple(self.running)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _done(self, task: asyncio.Task) -> None:
        self.running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOG.error('a task failed', exc_info=task.exception())
