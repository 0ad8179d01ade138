"""Gateways of one failure domain that share their reads of the log."""

import asyncio
import unittest
from unittest import mock

from berylhollow import clock
from berylhollow import log_service
from berylhollow import messages
from berylhollow import outgoing
from berylhollow import shared_reads

STREAM = 'operators'
SILENCE_MS = 1000


class FakeLog:
    """Records in order; counts the calls, and fails them while ``down``."""

    def __init__(self):
        self.records = []
        self.calls = 0
        self.down = False
        self.era = 0

    async def newest(self, stream):
        return log_service.ReadResult((), 0, len(self.records), self.era)

    async def read(self, stream, from_offset, wait_ms=0):
        self.calls += 1
        if self.down:
            raise outgoing.NotDone('down')
        entries = tuple(
            messages.LogEntry(offset, 0, data)
            for offset, data in enumerate(self.records)
            if offset >= from_offset
        )
        return log_service.ReadResult(entries, 0, len(self.records), self.era)

    async def append(self, stream, data):
        self.records.append(data)
        return len(self.records) - 1

    async def close(self):
        pass


class SharedTestCase(unittest.IsolatedAsyncioTestCase):
    """Gateways on one clock; what one publishes, ``tell`` gives another."""

    def setUp(self):
        self.log = FakeLog()
        self.clock = clock.VirtualClock()
        self.parts = []

    def gateway(self, name):
        shared = shared_reads.SharedLog(
            self.log, (STREAM,), name, self.clock, 800, 0.0
        )
        shared.publish = self.parts.append
        shared.has_listeners = lambda: True
        return shared

    def tell(self, shared):
        for part in self.parts:
            shared.take(part)

    async def data(self, shared, offset):
        result = await shared.read(STREAM, offset, 1500)
        return [entry.data for entry in result.records], result.next_offset


class SharedReadsTest(SharedTestCase):
    async def test_one_reads_and_the_other_is_told(self):
        """Each of sixty-eight gateways read the same streams by itself.

        The calls to the log cost as much as all the instances.
        """
        first, second = self.gateway('g1'), self.gateway('g2')
        self.log.records += [b'one', b'two']
        self.assertEqual(([b'one', b'two'], 2), await self.data(first, 0))
        self.tell(second)
        self.assertEqual(([b'one', b'two'], 2), await self.data(second, 0))
        self.assertEqual(1, self.log.calls)

    async def test_that_nothing_is_new_is_told_too(self):
        first, second = self.gateway('g1'), self.gateway('g2')
        await self.data(first, 0)
        self.tell(second)
        self.assertEqual(([], 0), await self.data(second, 0))
        self.assertEqual(1, self.log.calls)

    async def test_who_listens_hears_of_news_while_it_waits(self):
        first, second = self.gateway('g1'), self.gateway('g2')
        await self.data(first, 0)
        self.tell(second)
        await self.data(second, 0)
        waiting = asyncio.create_task(self.data(second, 0))
        await asyncio.sleep(0)
        self.parts.clear()
        self.log.records.append(b'news')
        await self.data(first, 0)
        self.tell(second)
        self.assertEqual(([b'news'], 1), await waiting)
        self.assertEqual(2, self.log.calls)

    async def test_silent_reader_is_replaced(self):
        """The gateway that reads for the others is killed.

        Nobody tells them so: without word for its pause and a little more,
        each of them reads again, and a change is not missed.
        """
        first, second = self.gateway('g1'), self.gateway('g2')
        await self.data(first, 0)
        self.tell(second)
        await self.data(second, 0)
        self.log.records.append(b'news')
        self.clock.advance(SILENCE_MS)
        self.assertEqual(([b'news'], 1), await self.data(second, 0))

    async def test_lower_name_goes_on_where_two_read(self):
        first, second = self.gateway('g1'), self.gateway('g2')
        await self.data(second, 0)
        self.tell(first)
        self.parts.clear()
        await self.data(first, 0)
        await self.data(first, 0)
        self.assertEqual(2, self.log.calls)
        self.tell(second)
        await self.data(second, 0)
        self.assertEqual(2, self.log.calls)

    async def test_reads_that_wait_side_by_side_end_in_one_reader(self):
        """Two gateways began to wait for news at the same moment.

        The first told that there was none just before the second heard so
        from the log itself; both went on, and the calls were not halved.
        """
        first, second = self.gateway('g1'), self.gateway('g2')
        waits = asyncio.Event()

        async def read(stream, from_offset, wait_ms=0):
            await waits.wait()
            return log_service.ReadResult((), 0, 0)

        second.source = mock.Mock(read=read)
        waiting = asyncio.create_task(self.data(second, 0))
        await asyncio.sleep(0)
        await self.data(first, 0)
        self.tell(second)
        waits.set()
        await waiting
        self.assertFalse(second.turns[STREAM].reading)
        self.assertEqual(['g1'], [part.reader for part in self.parts])

    async def test_gap_is_read(self):
        """A part was lost with its link; the next one tells what follows it.

        Taken for all there is, a configuration would never be in force here.
        """
        first, second = self.gateway('g1'), self.gateway('g2')
        self.log.records.append(b'missed')
        await self.data(first, 0)
        self.parts.clear()
        self.log.records.append(b'told')
        await self.data(first, 1)
        self.tell(second)
        self.assertEqual(([b'missed', b'told'], 2), await self.data(second, 0))

    async def test_part_that_overlaps_gives_only_what_is_new(self):
        first, second = self.gateway('g1'), self.gateway('g2')
        self.log.records += [b'one', b'two', b'three']
        await self.data(first, 0)
        self.tell(second)
        self.assertEqual(([b'three'], 3), await self.data(second, 2))

    async def test_late_part_takes_nothing_back(self):
        """A sidecar was frozen and delivers what was read seconds ago."""
        first, second = self.gateway('g1'), self.gateway('g2')
        await self.data(first, 0)
        late = list(self.parts)
        self.log.records.append(b'news')
        self.parts.clear()
        await self.data(first, 0)
        self.tell(second)
        self.assertEqual(([b'news'], 1), await self.data(second, 0))
        for part in late:
            second.take(part)
        calls = self.log.calls
        self.clock.advance(SILENCE_MS)
        self.assertEqual(([], 1), await self.data(second, 1))
        self.assertEqual(calls + 1, self.log.calls)

    async def test_part_from_far_ahead_does_not_stop_reading(self):
        """An offset that the log never had must not be waited for."""
        second = self.gateway('g2')
        second.take(messages.StreamPart(STREAM, 900, 901, (b'x',), 'g1'))
        self.log.records.append(b'real')
        self.assertEqual(([b'real'], 1), await self.data(second, 0))
        self.parts.clear()
        first = self.gateway('g1')
        self.log.records.append(b'next')
        await self.data(first, 1)
        self.tell(second)
        self.assertEqual(([b'next'], 2), await self.data(second, 1))

    async def test_without_listeners_each_reads_alone(self):
        alone = self.gateway('g1')
        alone.has_listeners = lambda: False
        await self.data(alone, 0)
        await self.data(alone, 0)
        self.assertEqual(2, self.log.calls)
        self.assertEqual([], self.parts)

    async def test_who_can_not_read_listens_to_others(self):
        """The log turns some instances away and serves the others."""
        first, second = self.gateway('g1'), self.gateway('g2')
        self.log.down = True
        with self.assertRaises(outgoing.NotDone):
            await self.data(first, 0)
        self.log.down = False
        self.log.records.append(b'news')
        await self.data(second, 0)
        self.tell(first)
        self.log.down = True
        self.assertEqual(([b'news'], 1), await self.data(first, 0))

    async def test_large_part_is_left_to_each(self):
        first = self.gateway('g1')
        self.log.records.append(bytes(shared_reads.MOST_TOLD_BYTES + 1))
        await self.data(first, 0)
        self.assertEqual([], self.parts)


class TurnTest(unittest.TestCase):
    def test_pauses_of_silence_differ_and_stay_below_an_outage(self):
        """All who hear nothing at once must not all call the log at once.

        The list of endpoints counts as lost after 1.5 s without a read.
        """
        log, time = FakeLog(), clock.VirtualClock()
        silences = [
            shared_reads.SharedLog(log, (STREAM,), 'g', time, 800, fraction)
            .turns[STREAM]
            .silence_ms
            for fraction in (0.0, 0.5, 0.999)
        ]
        self.assertEqual(sorted(set(silences)), silences)
        self.assertGreater(silences[0], 800)
        self.assertLess(silences[-1], 1400)


class OlderCopyTest(SharedTestCase):
    """The log comes back from an older copy, in a new era."""

    async def asyncSetUp(self):
        self.first, self.second = self.gateway('g1'), self.gateway('g2')
        self.log.records += [b'one', b'two']
        await self.data(self.first, 0)
        self.tell(self.second)
        await self.data(self.second, 0)
        self.parts.clear()
        del self.log.records[1:]
        self.log.era = 1

    async def test_part_of_a_new_era_is_told_as_such_and_not_joined(self):
        """Offsets of two eras are the same numbers of other records.

        Joined to what was known, a part would hide the records before it.
        """
        self.log.records += [b'other', b'more']
        first = await self.first.read(STREAM, 2, 1500)
        self.assertEqual(1, first.era)
        await self.first.newest(STREAM)
        self.log.records.append(b'last')
        await self.data(self.first, 3)
        self.tell(self.second)
        result = await self.second.read(STREAM, 2, 1500)
        self.assertEqual((1, ()), (result.era, result.records))
        self.assertFalse(result.whole)

    async def test_part_of_the_era_before_is_dropped(self):
        await self.second.newest(STREAM)
        late = messages.StreamPart(STREAM, 1, 3, (b'x', b'y'), 'g1', 0)
        self.second.take(late)
        self.log.records.append(b'new')
        self.clock.advance(10_000)
        self.assertEqual(([b'new'], 2), await self.data(self.second, 1))

    async def test_what_is_told_is_no_read_of_ones_own(self):
        await self.first.newest(STREAM)
        await self.second.newest(STREAM)
        self.log.records.append(b'new')
        own = await self.first.read(STREAM, 1, 1500)
        self.tell(self.second)
        told = await self.second.read(STREAM, 1, 1500)
        self.assertEqual((False, True), (own.told, told.told))
