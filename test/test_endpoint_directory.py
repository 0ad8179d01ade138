"""The endpoint list, kept up to date from a stream of keyed records."""

import unittest

from berylhollow import clock
from berylhollow import endpoint_directory
from berylhollow import log_service
from berylhollow import messages
from berylhollow import outgoing
from berylhollow import platform
from test import platform_builders as builders


FIRST_MS = 1_790_000_000_000
"""First start of an endpoint, by its own clock."""


class FakeStore:
    """Keeps records in order; every call fails while ``down`` is set.

    A read of the whole list misses the last ``full_read_lag`` records.
    """

    def __init__(self):
        self.records = []
        self.first = 0
        self.down = False
        self.full_read_lag = 0
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
        end = len(self.records) - self.full_read_lag
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
                outgoing.CallRefused('', 410, {'first_offset': self.first})
            )
        return self.result(from_offset)

    def check(self):
        if self.down:
            raise outgoing.CallNotSent('down')

    def restore_older_copy(self, records):
        """Keep only the first ``records`` records and begin a new era."""
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

    async def test_row_written_last_is_listed_last(self):
        for name in ('i-2', 'i-1', 'i-2'):
            self.store.put(name)
        self.assertEqual(['i-1', 'i-2'], await self.names())
        self.store.put('i-1')
        self.assertEqual(['i-2', 'i-1'], await self.names())

    async def test_dropped_history_is_read_as_a_whole_list(self):
        """The store drops its history, with the record of a removal in it.

        A gateway that only read on from the oldest kept record would go on
        sending to an endpoint that left long ago.
        """
        self.store.put('i-1')
        self.store.put('i-2')
        await self.names()
        self.store.drop('i-1')
        self.store.first = 3
        self.assertEqual(['i-2'], await self.names())

    async def test_whole_list_that_is_older_than_what_was_read(self):
        """The store drops its history and answers with an older list.

        If that list was applied, endpoints that had left would be in use
        again, and reading on from its offset would repeat every change since.
        """
        self.store.put('i-1')
        self.store.put('i-2')
        self.store.drop('i-1')
        self.assertEqual(['i-2'], await self.names())
        self.store.put('i-3')
        await self.names()
        self.store.first = 10
        self.store.full_read_lag = 2
        with self.assertRaises(outgoing.CallError):
            await self.names()
        self.store.full_read_lag = 0
        self.assertEqual(['i-2', 'i-3'], await self.names())

    async def test_entries_that_expired_in_an_outage_stay_for_a_while(self):
        """The store was down, and the entries of all endpoints expired.

        The endpoints write them again within two seconds of its return. If the
        removals were applied at once, no endpoint would be left to send to.
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
        self.clock.advance(endpoint_directory.REMOVAL_HOLD_MS)
        self.assertEqual([], await self.names())

    async def test_entry_that_comes_back_after_an_outage_stays(self):
        self.store.put('i-1')
        await self.names()
        self.clock.advance(4000)
        self.store.drop('i-1')
        await self.names()
        self.store.put('i-1')
        await self.names()
        self.clock.advance(endpoint_directory.REMOVAL_HOLD_MS)
        self.assertEqual(['i-1'], await self.names())

    async def test_malformed_entry_is_skipped(self):
        await self.names()
        self.store.records.append(b'\x03i-9{')
        self.store.put('i-1')
        with self.assertLogs('berylhollow', 'WARNING'):
            self.assertEqual(['i-1'], await self.names())


class RestartTest(DirectoryTestCase):
    """Entries of endpoints that start again under their old name."""

    async def start_times(self):
        rows = await self.directory.list()
        return [row.incarnation.started_ms for row in rows]

    async def test_restart_under_the_old_name_replaces_the_row(self):
        self.store.put('i-1', born=FIRST_MS)
        await self.start_times()
        self.store.put('i-1', born=FIRST_MS + 900)
        self.assertEqual([FIRST_MS + 900], await self.start_times())

    async def test_delayed_write_of_an_earlier_start_is_ignored(self):
        """A write of the old start takes effect after the new one's first.

        If it was applied, all that is known of the new start would be
        discarded, and requests would be sent for adapters that only the old
        start held.
        """
        self.store.put('i-1', born=FIRST_MS)
        self.store.put('i-1', born=FIRST_MS + 900)
        await self.start_times()
        self.store.put('i-1', born=FIRST_MS)
        self.assertEqual([FIRST_MS + 900], await self.start_times())
        self.store.put('i-1', born=FIRST_MS + 900)
        self.assertEqual([FIRST_MS + 900], await self.start_times())

    async def test_start_after_the_clock_was_set_back_is_accepted(self):
        """The clock was set back, so the live start looks like the older."""
        self.store.put('i-1', born=FIRST_MS)
        await self.start_times()
        self.store.put('i-1', born=FIRST_MS - 5000)
        self.assertEqual([FIRST_MS], await self.start_times())
        self.store.put('i-1', born=FIRST_MS - 5000)
        self.assertEqual([FIRST_MS - 5000], await self.start_times())


class ForeignEntryTest(DirectoryTestCase):
    """Entries of another writer among good ones."""

    async def test_malformed_entry_does_not_affect_others(self):
        self.store.put('i-1')
        self.store.records.append(b'\x03x-1{')
        self.store.records.append(b'')
        self.store.put('i-2', Slots='64')
        self.store.put('i-3')
        self.assertEqual(['i-1', 'i-3'], await self.names())

    async def test_malformed_entry_replaces_a_good_one(self):
        """The newest entry of a name counts, however it was read.

        Otherwise gateways that read on would keep the endpoint, while those
        that read the whole list would leave it out.
        """
        self.store.put('i-1')
        self.store.put('i-2')
        await self.names()
        self.store.put('i-1', State='resting')
        self.assertEqual(['i-2'], await self.names())
        self.store.put('i-1')
        self.assertEqual(['i-2', 'i-1'], await self.names())

    async def test_malformed_entry_is_logged_once_per_name(self):
        """A malformed entry is written again with every heartbeat."""
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
        most = endpoint_directory.MAX_MALFORMED_NAMES
        for number in range(most + 50):
            self.store.put(f'x-{number}', Address='nowhere')
        with self.assertLogs(
            'berylhollow.endpoint_directory', 'WARNING'
        ) as logs:
            await self.names()
        self.assertEqual(most, len(logs.records))


class OlderCopyTest(DirectoryTestCase):
    """The log is restored from an older copy and reuses offsets."""

    async def test_list_with_a_lower_end_offset_is_applied(self):
        """The restored log ends before what was read already.

        If its list was refused as outdated, the endpoint list would not change
        until the log had grown past the old offset.
        """
        for name in ('i-1', 'i-2', 'i-3'):
            self.store.put(name)
        await self.names()
        self.store.restore_older_copy(2)
        for _ in range(3):
            await self.names()
            self.clock.advance(endpoint_directory.REMOVAL_HOLD_MS // 2)
        self.store.drop('i-1')
        self.assertEqual(['i-2'], await self.names())

    async def test_log_that_has_grown_past_the_old_offset(self):
        """As many records as were lost have been written since the restore.

        No read fails then, but reading on from the old offset would skip the
        new records before it.
        """
        for name in ('i-1', 'i-2', 'i-3'):
            self.store.put(name)
        await self.names()
        self.store.restore_older_copy(1)
        self.store.drop('i-1')
        self.store.put('i-4')
        self.store.put('i-5')
        await self.names()
        self.clock.advance(endpoint_directory.REMOVAL_HOLD_MS)
        self.assertEqual(['i-4', 'i-5'], await self.names())

    async def test_endpoint_that_the_copy_lacks_may_write_again(self):
        """A live endpoint joined after the copy was made.

        If its absence was taken for a removal, every such endpoint would get
        no requests until it has written its entry again.
        """
        self.store.put('i-1')
        self.store.put('i-2')
        await self.names()
        self.store.restore_older_copy(1)
        self.assertEqual(['i-1', 'i-2'], sorted(await self.names()))
        self.store.put('i-2')
        self.clock.advance(endpoint_directory.REMOVAL_HOLD_MS)
        self.assertEqual(['i-1', 'i-2'], sorted(await self.names()))

    async def test_endpoint_that_the_copy_lacks_and_that_is_gone(self):
        self.store.put('i-1')
        self.store.put('i-2')
        await self.names()
        self.store.restore_older_copy(1)
        await self.names()
        self.clock.advance(endpoint_directory.REMOVAL_HOLD_MS)
        self.assertEqual(['i-1'], await self.names())

    async def test_endpoint_seen_to_leave_is_not_taken_from_the_copy(self):
        """An endpoint left after the copy was made.

        If the copy was applied as it is, requests would be sent to the
        endpoint long after its departure was confirmed.
        """
        self.store.put('i-1')
        self.store.put('i-2')
        await self.names()
        self.store.drop('i-2')
        self.assertEqual(['i-1'], await self.names())
        self.store.restore_older_copy(2)
        self.assertEqual(['i-1'], await self.names())
        self.store.put('i-2', born=FIRST_MS)
        self.assertEqual(2, len(await self.names()))

    async def test_answer_of_an_earlier_era_is_refused(self):
        self.store.put('i-1')
        await self.names()
        self.store.restore_older_copy(1)
        await self.names()
        self.store.era -= 1
        self.store.put('i-2')
        with self.assertRaises(outgoing.CallNotSent):
            await self.directory.list()
