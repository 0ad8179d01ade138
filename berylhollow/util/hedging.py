"""Hedged calls: a second call is made if the first is slow or fails."""

import asyncio
import collections.abc
import typing

Answer = typing.TypeVar('Answer')
Call = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, Answer]
]


async def first_answer(
    call: Call[Answer],
    hedge_after_s: float,
    retry_on: tuple[type[Exception], ...] = (),
) -> Answer:
    """Return the result of the first of two calls to succeed.

    The second call is made when the first has taken ``hedge_after_s`` or has
    raised one of ``retry_on``; the slower call is cancelled. Only for calls
    that may be made twice. Raises the error of the second call if both fail,
    or of the first if there is no second.
    """
    tasks = [asyncio.ensure_future(call())]
    try:
        await asyncio.wait(tasks, timeout=hedge_after_s)
        if tasks[0].done() and not isinstance(tasks[0].exception(), retry_on):
            return tasks[0].result()
        tasks.append(asyncio.ensure_future(call()))
        return await _first_to_succeed(tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _first_to_succeed(tasks: list[asyncio.Task[Answer]]) -> Answer:
    pending = {task for task in tasks if not task.done()}
    while pending:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            if task.exception() is None:
                return task.result()
    return tasks[-1].result()
