"""Platform effects and the events that they result in."""

import asyncio
import unittest

from berylhollow import clock
from berylhollow import effects
from berylhollow import log_service
from berylhollow import shell

STREAM = 'operators'


class WaitingLog:
    """A log whose reads end when ``may_end`` is set."""

    def __init__(self):
        self.may_end = asyncio.Event()
        self.reads = []

    async def read(self, stream, from_offset, *, wait_ms=0):
        self.reads.append(from_offset)
        await self.may_end.wait()
        return log_service.ReadResult((), 0, from_offset)


class ReadTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.log = WaitingLog()
        self.fed = []
        self.tasks = shell.Tasks()
        self.calls = shell.PlatformCalls(
            self.log, None, self.fed.append, clock.VirtualClock(), self.tasks
        )

    async def read(self, *offsets):
        """Read from each offset at once; return how many results there are."""
        for offset in offsets:
            self.calls.read_log(effects.ReadLog(STREAM, offset, 1500))
        self.log.may_end.set()
        await asyncio.gather(*self.tasks.running)
        return len(self.fed)

    async def test_read_under_way_is_not_begun_again(self):
        """After a slow read each of two results began a next read."""
        self.assertEqual(1, await self.read(5, 5))
        self.assertEqual([5], self.log.reads)

    async def test_read_from_another_offset_is_begun_beside_it(self):
        """The log was restored, and its offsets begin anew."""
        self.assertEqual(2, await self.read(5, 0))

    async def test_ended_read_may_be_repeated(self):
        await self.read(5)
        self.assertEqual(2, await self.read(5))
