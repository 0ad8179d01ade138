"""The list of endpoints, kept up to date from keyed records."""

import unittest

from berylhollow import clock
from berylhollow import endpoint_directory
from berylhollow import log_service
from berylhollow import messages
from berylhollow import outgoing
from berylhollow import platform
from test import platform_builders as builders


FIRST_MS = 1_790_000_000_000
"""When an endpoint started first, by its own clock."""


class FakeStore:
    """Records in order; ``down`` fails every call.

    A whole list is ``behind`` by so many records.
    """

    def __init__(self):
        self.records = []
        self.first = 0
        self.down = False
        self.behind = 0
        self.era = 0
        self.full_reads = 0

    def put(self, name, **changes):
        self.records.append(builders.keyed(name, builders.entry(**changes)))

    def drop(self, name):
        self.records.append(builders.keyed(name, None))

    def result(self, start):
        entries = tuple(
            messages.LogEntry(offset, 0, data)
            for offset, data in enumerate(self.records)
            if offset >= start
        )
        return log_service.ReadResult(
            entries, self.first, len(self.records), self.era
        )

    async def newest(self, stream):
        self.check()
        self.full_reads += 1
        end = len(self.records) - self.behind
        newest = {}
        for entry in self.result(0).records[:end]:
            size = entry.data[0] if entry.data else 0
            name = entry.data[1 : 1 + size].decode()
            newest.pop(name, None)
            if entry.data[1 + size :]:
                newest[name] = entry
        entries = tuple(newest[name] for name in sorted(newest))
        return log_service.ReadResult(entries, 0, end, self.era)

    async def read(self, stream, from_offset):
        self.check()
        if from_offset < self.first:
            raise log_service.OffsetGone(
                outgoing.Refused('', 410, {'first_offset': self.first})
            )
        return self.result(from_offset)

    def check(self):
        if self.down:
            raise outgoing.NotDone('down')

    def come_back(self, records):
        """Lose all but the first few records."""
        del self.records[records:]
        self.era += 1


class DirectoryTestCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = clock.VirtualClock()
        self.store = FakeStore()
        self.directory = endpoint_directory.EndpointDirectory(
            self.store, 'servers', platform.decode_instance, self.clock
        )

    async def names(self):
        return [row.instance for row in await self.directory.list()]


class DirectoryTest(DirectoryTestCase):
    async def test_follows_what_is_new(self):
        self.store.put('i-1')
        self.assertEqual(['i-1'], await self.names())
        self.store.put('i-2')
        self.store.drop('i-1')
        self.assertEqual(['i-2'], await self.names())
        self.assertEqual(1, self.store.full_reads)

    async def test_whoever_wrote_last_comes_last(self):
        for name in ('i-2', 'i-1', 'i-2'):
            self.store.put(name)
        self.assertEqual(['i-1', 'i-2'], await self.names())
        self.store.put('i-1')
        self.assertEqual(['i-2', 'i-1'], await self.names())

    async def test_dropped_history_is_read_as_a_whole_list(self):
        """The store drops its history while an endpoint leaves.

        The record of its leaving is gone with it. Reading on from what is
        kept, the gateway would send to an endpoint that left long ago.
        """
        self.store.put('i-1')
        self.store.put('i-2')
        await self.names()
        self.store.drop('i-1')
        self.store.first = 3
        self.assertEqual(['i-2'], await self.names())

    async def test_whole_list_that_is_older_than_what_was_read(self):
        """The store drops its history and answers from an older state.

        Endpoints that had left were in use again, and read from there on the
        log would bring every change since once more.
        """
        self.store.put('i-1')
        self.store.put('i-2')
        self.store.drop('i-1')
        self.assertEqual(['i-2'], await self.names())
        self.store.put('i-3')
        await self.names()
        self.store.first = 10
        self.store.behind = 2
        with self.assertRaises(outgoing.CallError):
            await self.names()
        self.store.behind = 0
        self.assertEqual(['i-2', 'i-3'], await self.names())

    async def test_entries_that_lapsed_in_an_outage_stay_for_a_while(self):
        """The store was down and the entries of all endpoints lapsed.

        On its return they are gone and come back within two seconds. Taken
        at once, no endpoint is left to send anything to.
        """
        self.store.put('i-1')
        await self.names()
        self.store.down = True
        self.clock.advance(4000)
        with self.assertRaises(outgoing.CallError):
            await self.names()
        self.store.down = False
        self.store.drop('i-1')
        self.assertEqual(['i-1'], await self.names())
        self.clock.advance(endpoint_directory.RETURN_MS)
        self.assertEqual([], await self.names())

    async def test_entry_that_comes_back_after_an_outage_stays(self):
        self.store.put('i-1')
        await self.names()
        self.clock.advance(4000)
        self.store.drop('i-1')
        await self.names()
        self.store.put('i-1')
        await self.names()
        self.clock.advance(endpoint_directory.RETURN_MS)
        self.assertEqual(['i-1'], await self.names())

    async def test_malformed_entry_is_skipped(self):
        await self.names()
        self.store.records.append(b'\x03i-9{')
        self.store.put('i-1')
        with self.assertLogs('berylhollow', 'WARNING'):
            self.assertEqual(['i-1'], await self.names())


class StartTest(DirectoryTestCase):
    """Entries of endpoints that start again under their old names."""

    async def starts(self):
        rows = await self.directory.list()
        return [row.incarnation.started_ms for row in rows]

    async def test_restart_under_the_old_name_takes_its_place(self):
        self.store.put('i-1', born=FIRST_MS)
        await self.starts()
        self.store.put('i-1', born=FIRST_MS + 900)
        self.assertEqual([FIRST_MS + 900], await self.starts())

    async def test_late_word_of_the_start_before_is_left(self):
        """A write of the old start took effect after the new one's first.

        All that was known of the new start was dropped, and requests were
        sent for adapters that only the old one had held.
        """
        self.store.put('i-1', born=FIRST_MS)
        self.store.put('i-1', born=FIRST_MS + 900)
        await self.starts()
        self.store.put('i-1', born=FIRST_MS)
        self.assertEqual([FIRST_MS + 900], await self.starts())
        self.store.put('i-1', born=FIRST_MS + 900)
        self.assertEqual([FIRST_MS + 900], await self.starts())

    async def test_start_by_a_clock_that_was_set_back_is_taken(self):
        """The clock went back: the living start looks like the older one."""
        self.store.put('i-1', born=FIRST_MS)
        await self.starts()
        self.store.put('i-1', born=FIRST_MS - 5000)
        self.assertEqual([FIRST_MS], await self.starts())
        self.store.put('i-1', born=FIRST_MS - 5000)
        self.assertEqual([FIRST_MS - 5000], await self.starts())


class ForeignEntryTest(DirectoryTestCase):
    """Entries of another writer between good ones."""

    async def test_unreadable_entry_leaves_the_others(self):
        self.store.put('i-1')
        self.store.records.append(b'\x03x-1{')
        self.store.records.append(b'')
        self.store.put('i-2', Slots='64')
        self.store.put('i-3')
        self.assertEqual(['i-1', 'i-3'], await self.names())

    async def test_unreadable_entry_over_a_good_one(self):
        """The newest entry of a name counts, read next or read as a whole.

        Gateways that had read on kept the endpoint, those that read the
        whole list left it out.
        """
        self.store.put('i-1')
        self.store.put('i-2')
        await self.names()
        self.store.put('i-1', State='resting')
        self.assertEqual(['i-2'], await self.names())
        self.store.put('i-1')
        self.assertEqual(['i-2', 'i-1'], await self.names())

    async def test_unreadable_entries_are_told_once_each(self):
        """A writer repeated its entry with every heartbeat, a line each."""
        self.store.put('i-1')
        with self.assertLogs(
            'berylhollow.endpoint_directory', 'WARNING'
        ) as logs:
            for _ in range(5):
                self.store.put('x-1', Address='nowhere')
                await self.names()
        self.assertEqual(1, len(logs.records))
        self.assertEqual('x-1', logs.records[0].entry)

    async def test_made_up_names_do_not_fill_the_log(self):
        most = endpoint_directory.MOST_MALFORMED
        for number in range(most + 50):
            self.store.put(f'x-{number}', Address='nowhere')
        with self.assertLogs(
            'berylhollow.endpoint_directory', 'WARNING'
        ) as logs:
            await self.names()
        self.assertEqual(most, len(logs.records))


class OlderCopyTest(DirectoryTestCase):
    """The log comes back from an older copy and gives offsets out again."""

    async def test_list_with_a_lower_end_is_taken_in(self):
        """The log ends before what was read already, in a new era.

        Refused as an answer from before, the list would have stood still
        until the log had grown past the old offset.
        """
        for name in ('i-1', 'i-2', 'i-3'):
            self.store.put(name)
        await self.names()
        self.store.come_back(2)
        for _ in range(3):
            await self.names()
            self.clock.advance(endpoint_directory.RETURN_MS // 2)
        self.store.drop('i-1')
        self.assertEqual(['i-2'], await self.names())

    async def test_log_that_has_grown_past_the_old_offset(self):
        """As many records were written again as were lost, others of them.

        Nothing fails then; read on from the old offset, what lies before it
        would never be seen.
        """
        for name in ('i-1', 'i-2', 'i-3'):
            self.store.put(name)
        await self.names()
        self.store.come_back(1)
        self.store.drop('i-1')
        self.store.put('i-4')
        self.store.put('i-5')
        await self.names()
        self.clock.advance(endpoint_directory.RETURN_MS)
        self.assertEqual(['i-4', 'i-5'], await self.names())

    async def test_endpoint_that_the_copy_lacks_may_write_again(self):
        """An endpoint joined in the seconds that were lost; it lives.

        Taken for a removal, all that had joined would get nothing until
        each has written again.
        """
        self.store.put('i-1')
        self.store.put('i-2')
        await self.names()
        self.store.come_back(1)
        self.assertEqual(['i-1', 'i-2'], sorted(await self.names()))
        self.store.put('i-2')
        self.clock.advance(endpoint_directory.RETURN_MS)
        self.assertEqual(['i-1', 'i-2'], sorted(await self.names()))

    async def test_endpoint_that_the_copy_lacks_and_that_is_gone(self):
        self.store.put('i-1')
        self.store.put('i-2')
        await self.names()
        self.store.come_back(1)
        await self.names()
        self.clock.advance(endpoint_directory.RETURN_MS)
        self.assertEqual(['i-1'], await self.names())

    async def test_endpoint_that_only_the_copy_has_was_seen_to_leave(self):
        """An endpoint left in the seconds that were lost.

        Believed, the copy would have requests sent to it again, long after
        its leaving was confirmed.
        """
        self.store.put('i-1')
        self.store.put('i-2')
        await self.names()
        self.store.drop('i-2')
        self.assertEqual(['i-1'], await self.names())
        self.store.come_back(2)
        self.assertEqual(['i-1'], await self.names())
        self.store.put('i-2', born=FIRST_MS)
        self.assertEqual(2, len(await self.names()))

    async def test_answer_of_the_era_before_is_not_used(self):
        self.store.put('i-1')
        await self.names()
        self.store.come_back(1)
        await self.names()
        self.store.era -= 1
        self.store.put('i-2')
        with self.assertRaises(outgoing.NotDone):
            await self.directory.list()
