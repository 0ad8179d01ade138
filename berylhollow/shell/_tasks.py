"""The tasks that a shell has under way."""

import asyncio
import collections.abc
import logging

LOG = logging.getLogger(__name__)


class Tasks:
    """Keep tasks until they are done and log the one that fails."""

    def __init__(self):
        self.running: set[asyncio.Task] = set()

    def start(self, coroutine: collections.abc.Coroutine) -> asyncio.Task:
        """Begin a task; an exception that it leaves is a defect."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.running.add(task)
        task.add_done_callback(self._done)
        return task

    async def stop(self) -> None:
        """Cancel what is under way and wait for it to end."""
        tasks = tuple(self.running)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _done(self, task: asyncio.Task) -> None:
        self.running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOG.error('a task failed', exc_info=task.exception())
