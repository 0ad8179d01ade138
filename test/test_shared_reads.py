"""Reads of the log that gateways of one failure domain share."""

import asyncio
import random
import unittest
from unittest import mock

from berylhollow import clock
from berylhollow import log_service
from berylhollow import messages
from berylhollow import outgoing
from berylhollow import shared_reads
from berylhollow import stream_parts

STREAM = 'operators'
SILENCE_TIMEOUT_MS = 1000
HANG_S = 5
"""Far longer than any wait, so that a fault fails instead of hanging."""


class FakeLog:
    """Keeps records in order and counts reads; they fail while ``down``."""

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
            raise outgoing.CallNotSent('down')
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
    """Gateways on one clock; ``deliver_to`` hands one the published parts."""

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

    def deliver_to(self, shared):
        for part in self.parts:
            shared.add_part(part)

    async def data(self, shared, offset):
        result = await shared.read(STREAM, offset, 1500)
        return [entry.data for entry in result.records], result.next_offset


class SharedReadsTest(SharedTestCase):
    async def test_one_reads_and_the_other_receives_the_part(self):
        """Each of sixty-eight gateways read the same streams by itself.

        Their calls to the log cost as much as all the instances.
        """
        first, second = self.gateway('g1'), self.gateway('g2')
        self.log.records += [b'one', b'two']
        self.assertEqual(([b'one', b'two'], 2), await self.data(first, 0))
        self.deliver_to(second)
        self.assertEqual(([b'one', b'two'], 2), await self.data(second, 0))
        self.assertEqual(1, self.log.calls)

    async def test_read_without_records_is_published_too(self):
        first, second = self.gateway('g1'), self.gateway('g2')
        await self.data(first, 0)
        self.deliver_to(second)
        self.assertEqual(([], 0), await self.data(second, 0))
        self.assertEqual(1, self.log.calls)

    async def test_listener_receives_a_part_while_it_waits(self):
        first, second = self.gateway('g1'), self.gateway('g2')
        await self.data(first, 0)
        self.deliver_to(second)
        await self.data(second, 0)
        waiting = asyncio.create_task(self.data(second, 0))
        await asyncio.sleep(0)
        self.parts.clear()
        self.log.records.append(b'news')
        await self.data(first, 0)
        self.deliver_to(second)
        self.assertEqual(([b'news'], 1), await waiting)
        self.assertEqual(2, self.log.calls)

    async def test_silent_reader_is_replaced(self):
        """The gateway that reads for the others is killed.

        The others are not told of it. When no part has arrived for the
        interval of the reader and a little more, each reads again, so that no
        record is missed.
        """
        first, second = self.gateway('g1'), self.gateway('g2')
        await self.data(first, 0)
        self.deliver_to(second)
        await self.data(second, 0)
        self.log.records.append(b'news')
        self.clock.advance(SILENCE_TIMEOUT_MS)
        self.assertEqual(([b'news'], 1), await self.data(second, 0))

    async def test_of_two_readers_the_lower_name_goes_on(self):
        first, second = self.gateway('g1'), self.gateway('g2')
        await self.data(second, 0)
        self.deliver_to(first)
        self.parts.clear()
        await self.data(first, 0)
        await self.data(first, 0)
        self.assertEqual(2, self.log.calls)
        self.deliver_to(second)
        await self.data(second, 0)
        self.assertEqual(2, self.log.calls)

    async def test_concurrent_reads_leave_one_reader(self):
        """Two gateways begin to wait for news at the same moment.

        The first publishes that there is none just before the second learns so
        from the log itself. If both then remained readers, the calls would not
        be halved.
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
        self.deliver_to(second)
        waits.set()
        await waiting
        self.assertFalse(second.roles[STREAM].is_reader)
        self.assertEqual(['g1'], [part.reader for part in self.parts])

    async def test_gap_is_read(self):
        """A part was lost with its link; the next part begins after a gap.

        If it was taken for all there is, the lost configuration would never
        come into force at this gateway.
        """
        first, second = self.gateway('g1'), self.gateway('g2')
        self.log.records.append(b'missed')
        await self.data(first, 0)
        self.parts.clear()
        self.log.records.append(b'told')
        await self.data(first, 1)
        self.deliver_to(second)
        self.assertEqual(([b'missed', b'told'], 2), await self.data(second, 0))

    async def test_overlapping_part_adds_only_new_records(self):
        first, second = self.gateway('g1'), self.gateway('g2')
        self.log.records += [b'one', b'two', b'three']
        await self.data(first, 0)
        self.deliver_to(second)
        self.assertEqual(([b'three'], 3), await self.data(second, 2))

    async def test_delayed_part_does_not_undo_newer_ones(self):
        """A sidecar was suspended and delivers a part that is seconds old."""
        first, second = self.gateway('g1'), self.gateway('g2')
        await self.data(first, 0)
        late = list(self.parts)
        self.log.records.append(b'news')
        self.parts.clear()
        await self.data(first, 0)
        self.deliver_to(second)
        self.assertEqual(([b'news'], 1), await self.data(second, 0))
        for part in late:
            second.add_part(part)
        calls = self.log.calls
        self.clock.advance(SILENCE_TIMEOUT_MS)
        self.assertEqual(([], 1), await self.data(second, 1))
        self.assertEqual(calls + 1, self.log.calls)

    async def test_part_beyond_the_end_of_the_log_does_not_stop_reading(self):
        """A part has an offset that the log never reached.

        It must not be waited for.
        """
        second = self.gateway('g2')
        second.add_part(messages.StreamPart(STREAM, 900, 901, (b'x',), 'g1'))
        self.log.records.append(b'real')
        self.assertEqual(([b'real'], 1), await self.data(second, 0))
        self.parts.clear()
        first = self.gateway('g1')
        self.log.records.append(b'next')
        await self.data(first, 1)
        self.deliver_to(second)
        self.assertEqual(([b'next'], 2), await self.data(second, 1))

    async def test_without_listeners_each_gateway_reads_for_itself(self):
        single = self.gateway('g1')
        single.has_listeners = lambda: False
        await self.data(single, 0)
        await self.data(single, 0)
        self.assertEqual(2, self.log.calls)
        self.assertEqual([], self.parts)

    async def test_gateway_that_can_not_read_listens_to_others(self):
        """The log refuses some gateways and serves the others."""
        first, second = self.gateway('g1'), self.gateway('g2')
        self.log.down = True
        with self.assertRaises(outgoing.CallNotSent):
            await self.data(first, 0)
        self.log.down = False
        self.log.records.append(b'news')
        await self.data(second, 0)
        self.deliver_to(first)
        self.log.down = True
        self.assertEqual(([b'news'], 1), await self.data(first, 0))

    async def test_part_that_stays_large_is_not_published(self):
        """It would occupy the links that the readers of the log share."""
        first = self.gateway('g1')
        size = stream_parts.MAX_SENT_BYTES + 1
        self.log.records.append(random.Random(1).randbytes(size))
        await self.data(first, 0)
        self.assertEqual([], self.parts)

    async def test_large_part_is_published_compressed(self):
        """A large configuration was not published: all gateways read it."""
        first, second = self.gateway('g1'), self.gateway('g2')
        record = b'a route of many ' * stream_parts.MAX_SENT_BYTES
        self.log.records += [record, b'small']
        await self.data(first, 0)
        (part,) = self.parts
        self.assertLess(len(part.data), stream_parts.MAX_SENT_BYTES)
        self.deliver_to(second)
        self.assertEqual(([record, b'small'], 2), await self.data(second, 0))
        self.assertEqual(1, self.log.calls)

    async def test_corrupt_part_is_read_from_the_log(self):
        second = self.gateway('g2')
        self.log.records.append(b'real')
        second.add_part(
            messages.CompressedStreamPart(STREAM, 0, 1, b'no zlib', 9, 'g1')
        )
        self.assertEqual(([b'real'], 1), await self.data(second, 0))

    async def test_part_that_arrives_during_a_read_ends_it(self):
        """A slow read went on through the link that the part had crossed."""
        first, second = self.gateway('g1'), self.gateway('g2')
        ended = asyncio.Event()

        async def read(stream, from_offset, wait_ms=0):
            try:
                await asyncio.Event().wait()
            finally:
                ended.set()

        second.source = mock.Mock(read=read)
        reading = asyncio.create_task(self.data(second, 0))
        await asyncio.sleep(0)
        self.log.records.append(b'news')
        await self.data(first, 0)
        self.deliver_to(second)
        async with asyncio.timeout(HANG_S):
            self.assertEqual(([b'news'], 1), await reading)
        self.assertTrue(ended.is_set())

    async def test_part_without_news_does_not_end_a_read(self):
        first, second = self.gateway('g1'), self.gateway('g2')
        waits = asyncio.Event()

        async def read(stream, from_offset, wait_ms=0):
            await waits.wait()
            return log_service.ReadResult((), 0, from_offset)

        second.source = mock.Mock(read=read)
        reading = asyncio.create_task(self.data(second, 0))
        await asyncio.sleep(0)
        await self.data(first, 0)
        self.deliver_to(second)
        await asyncio.sleep(0)
        self.assertFalse(reading.done())
        waits.set()
        self.assertEqual(([], 0), await reading)


class SilenceTimeoutTest(unittest.TestCase):
    def test_silence_timeouts_differ_and_keep_the_list_from_going_stale(self):
        """Gateways that receive nothing must not all read at the same time.

        The endpoint list is stale after 1.5 s without a read.
        """
        log, time = FakeLog(), clock.VirtualClock()
        timeouts = [
            shared_reads.SharedLog(log, (STREAM,), 'g', time, 800, fraction)
            .roles[STREAM]
            .silence_timeout_ms
            for fraction in (0.0, 0.5, 0.999)
        ]
        self.assertEqual(sorted(set(timeouts)), timeouts)
        self.assertGreater(timeouts[0], 800)
        self.assertLess(timeouts[-1], 1400)


class OlderCopyTest(SharedTestCase):
    """The log is restored from an older copy, in a new era."""

    async def asyncSetUp(self):
        self.first, self.second = self.gateway('g1'), self.gateway('g2')
        self.log.records += [b'one', b'two']
        await self.data(self.first, 0)
        self.deliver_to(self.second)
        await self.data(self.second, 0)
        self.parts.clear()
        del self.log.records[1:]
        self.log.era = 1

    async def test_part_of_a_new_era_is_not_joined_to_earlier_records(self):
        """The same offsets stand for different records in two eras.

        If a part was joined to records of the earlier era, the new records
        before it would never be read.
        """
        self.log.records += [b'other', b'more']
        first = await self.first.read(STREAM, 2, 1500)
        self.assertEqual(1, first.era)
        await self.first.newest(STREAM)
        self.log.records.append(b'last')
        await self.data(self.first, 3)
        self.deliver_to(self.second)
        result = await self.second.read(STREAM, 2, 1500)
        self.assertEqual((1, ()), (result.era, result.records))
        self.assertFalse(result.whole)

    async def test_part_of_an_earlier_era_is_dropped(self):
        await self.second.newest(STREAM)
        late = messages.StreamPart(STREAM, 1, 3, (b'x', b'y'), 'g1', 0)
        self.second.add_part(late)
        self.log.records.append(b'new')
        self.clock.advance(10_000)
        self.assertEqual(([b'new'], 2), await self.data(self.second, 1))

    async def test_received_part_is_marked_as_read_by_another(self):
        await self.first.newest(STREAM)
        await self.second.newest(STREAM)
        self.log.records.append(b'new')
        own = await self.first.read(STREAM, 1, 1500)
        self.deliver_to(self.second)
        told = await self.second.read(STREAM, 1, 1500)
        self.assertEqual((False, True), (own.told, told.told))
