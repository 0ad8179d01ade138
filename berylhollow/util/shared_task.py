"""A task whose result several callers wait for."""

import asyncio
import collections.abc
import typing

Result = typing.TypeVar('Result')


class SharedTask(typing.Generic[Result]):
    """Runs a coroutine for all that join it; cancelled if none is left.

    ``on_end`` is called when the coroutine has ended or is cancelled; nothing
    may join it from then on.
    """

    def __init__(
        self,
        coroutine: collections.abc.Coroutine[typing.Any, None, Result],
        on_end: collections.abc.Callable[[], typing.Any],
    ):
        self.on_end = on_end
        self.waiting = 0
        self.task = asyncio.ensure_future(self._run(coroutine))

    async def join(self) -> Result:
        """Return the result; raises what the coroutine raises."""
        self.waiting += 1
        try:
            return await asyncio.shield(self.task)
        finally:
            self.waiting -= 1
            if not self.waiting and not self.task.done():
                self.on_end()
                self.task.cancel()

    async def _run(
        self, coroutine: collections.abc.Coroutine[typing.Any, None, Result]
    ) -> Result:
        try:
            return await coroutine
        finally:
            if self.waiting:
                self.on_end()
