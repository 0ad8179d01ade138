"""Calls that are made a second time while the first is not answered."""

import asyncio
import collections.abc
import typing

Answer = typing.TypeVar('Answer')
Call = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, Answer]
]


async def first_answer(
    call: Call[Answer],
    after_s: float,
    again: tuple[type[Exception], ...] = (),
) -> Answer:
    """Return what the first of two calls to end well returns.

    The second is made when the first has taken ``after_s`` or has failed with
    one of ``again``; the one that is too late is cancelled. Only for calls
    that may be made twice. Raises what the second raises, or the first if
    there is no second.
    """
    tasks = [asyncio.ensure_future(call())]
    try:
        await asyncio.wait(tasks, timeout=after_s)
        if tasks[0].done() and not isinstance(tasks[0].exception(), again):
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
