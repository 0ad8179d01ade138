"""Tests of publishing: accepted, lost, raced and refused changes."""

import unittest

from berylhollow import configuration
from berylhollow import manifest
from berylhollow import publishing
from test import configuration_builders as builders
from test import model_log

TIMEOUT_MS = 5000


class PublisherTestCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.log = model_log.ModelLog()

    def publisher(self):
        session = publishing.Session(self.log, self.log.clock, self.log.sleep)
        return publishing.Publisher(session, TIMEOUT_MS)

    async def publish(self, wanted, operator='op', base=None):
        publisher = self.publisher()
        plan = await publisher.plan(wanted, base)
        return await publisher.publish(plan, wanted, operator)

    async def in_force(self):
        """Return what a process that starts now finds in force."""
        session = publishing.Session(self.log, self.log.clock, self.log.sleep)
        await session.catch_up(TIMEOUT_MS)
        return session.state.configuration

    def records(self):
        return self.log.model.streams[configuration.STREAM].records


class PublisherTest(PublisherTestCase):
    async def test_whole_manifest_first_then_only_what_differs(self):
        self.assertEqual(await self.publish(builders.declared('a1')), 1)
        self.assertEqual(await self.publish(builders.declared('a2')), 2)
        change = configuration.decode_change(self.records()[1].data)
        self.assertEqual(
            change.deltas, (builders.put('a2'), builders.remove('a1'))
        )
        present = await self.in_force()
        self.assertEqual(present.manifest(), builders.declared('a2'))

    async def test_older_file_rolls_back_as_a_new_revision(self):
        await self.publish(builders.declared('a1'))
        await self.publish(builders.declared('a1', 'a2'))
        self.assertEqual(await self.publish(builders.declared('a1')), 3)
        self.assertEqual(
            (await self.in_force()).manifest(), builders.declared('a1')
        )

    async def test_a_racing_operator_is_told_what_won(self):
        """Two operators plan against revision 1 and publish at once.

        The second by offset must learn that nothing of its change is in
        force, and which change to look at before it tries again.
        """
        await self.publish(builders.declared('a1'))
        winner = builders.change(1, 'w', builders.put('a9'), operator='ana')
        self.log.before_append = lambda: self.log.put(
            configuration.STREAM, winner
        )
        with self.assertRaises(publishing.ConflictError) as caught:
            await self.publish(builders.declared('a2'), 'bo')
        self.assertIn('revision 2 by ana', str(caught.exception))
        self.assertIn('a9', str(caught.exception))
        self.assertEqual((await self.in_force()).revision, 2)

    async def test_a_base_that_was_replaced_is_a_conflict_unpublished(self):
        await self.publish(builders.declared('a1'))
        await self.publish(builders.declared('a2'), 'ana')
        with self.assertRaises(publishing.ConflictError) as caught:
            await self.publish(builders.declared('a3'), base=1)
        self.assertIn('revision 2 by ana', str(caught.exception))
        self.assertEqual(len(self.records()), 2)


class LostAnswerTest(PublisherTestCase):
    async def test_a_lost_answer_is_settled_by_reading_the_log(self):
        """The append takes effect and its answer is lost.

        A naive command reports a failure; the pipeline publishes again, on
        a base that its own change has replaced, and reports a conflict for
        a change that is in force.
        """
        self.log.start_fault(model_log.Fault.APPEND_ANSWER_LOST, 100)
        self.assertEqual(await self.publish(builders.declared('a1')), 1)
        self.assertEqual((await self.in_force()).revision, 1)

    async def test_copies_of_a_change_are_accepted_once(self):
        """An answer is lost and the log can't be read for a while.

        The command appends again. Both copies are on the log; the first is
        accepted, and the command reports that one.
        """
        await self.publish(builders.declared('a1'))
        self.log.read_fails = lambda: len(self.records()) == 2
        self.log.start_fault(model_log.Fault.APPEND_ANSWER_LOST, 100)
        self.assertEqual(await self.publish(builders.declared('a2')), 2)
        self.assertEqual(len(self.records()), 3)
        self.assertEqual((await self.in_force()).revision, 2)

    async def test_an_outage_that_stays_is_said_to_be_unsettled(self):
        """The answer is lost and the log can't be read after it.

        Whether the change is in force can't be known. It must be said so,
        and a later ``settle`` must find out, also when a snapshot was
        written in between and another change has followed.
        """
        await self.publish(builders.declared('a1'))
        self.log.start_fault(model_log.Fault.APPEND_ANSWER_LOST, 50_000)
        self.log.read_fails = lambda: len(self.records()) > 1
        with self.assertRaises(publishing.UnsettledError) as caught:
            await self.publish(builders.declared('a2'))
        self.log.read_fails = lambda: False
        self.log.clock.advance(100_000)
        await self.publish(builders.declared('a3'))
        await self.write_snapshot()
        revision = await self.publisher().settle_earlier(
            caught.exception.change_id
        )
        self.assertEqual(revision, 2)

    async def write_snapshot(self):
        session = publishing.Session(self.log, self.log.clock, self.log.sleep)
        await session.catch_up(TIMEOUT_MS)
        self.log.put(configuration.SNAPSHOT_STREAM, session.state.snapshot())

    async def test_an_outage_from_the_start_publishes_nothing(self):
        self.log.start_fault(model_log.Fault.LOG_DOWN, 100_000)
        with self.assertRaises(publishing.UnavailableError):
            await self.publish(builders.declared('a1'))
        self.assertNotIn(configuration.STREAM, self.log.model.streams)

    async def test_an_unknown_change_stays_unsettled(self):
        await self.publish(builders.declared('a1'))
        with self.assertRaises(publishing.UnsettledError):
            await self.publisher().settle_earlier('nobody-sent-it')


class TrimmedLogTest(PublisherTestCase):
    def setUp(self):
        self.log = model_log.ModelLog(retention_ms=10_000)

    async def write_snapshots(self, *states):
        for state in states:
            self.log.put(configuration.SNAPSHOT_STREAM, state.snapshot())

    async def test_a_snapshot_stands_in_for_a_trimmed_prefix(self):
        """The log has cut off the first change; a snapshot holds it.

        The last snapshot on the log is an old one, written by a process
        that had been paused: taken alone it leaves a gap.
        """
        await self.publish(builders.declared('a1'))
        old = await self.state()
        await self.publish(builders.declared('a1', 'a2'))
        new = await self.state()
        self.log.clock.advance(20_000)
        await self.write_snapshots(new, old)
        present = await self.in_force()
        self.assertEqual(present.revision, 2)
        self.assertEqual(present.manifest(), builders.declared('a1', 'a2'))
        self.assertEqual(await self.publish(builders.declared('a3')), 3)

    async def test_a_gap_is_never_skipped(self):
        """The prefix is gone and only an old snapshot is left.

        A naive reader would go on from the first record that it can get and
        judge it against a revision that is not the one in force.
        """
        await self.publish(builders.declared('a1'))
        old = await self.state()
        await self.publish(builders.declared('a1', 'a2'))
        self.log.clock.advance(20_000)
        self.log.put(
            configuration.STREAM, builders.change(2, 'x', builders.put('a3'))
        )
        await self.write_snapshots(old)
        with self.assertRaises(publishing.UnavailableError) as caught:
            await self.in_force()
        self.assertIn('no longer holds', str(caught.exception))

    async def state(self):
        session = publishing.Session(self.log, self.log.clock, self.log.sleep)
        await session.catch_up(TIMEOUT_MS)
        return session.state


class NewerSoftwareTest(PublisherTestCase):
    async def test_an_older_program_says_that_it_is_too_old(self):
        record = builders.with_rule(builders.whole(), 2)
        self.log.put(configuration.STREAM, record)
        with self.assertRaises(publishing.UnavailableError) as caught:
            await self.publish(builders.declared('a1'))
        self.assertIn('rule 2', str(caught.exception))


class DescriptionTest(PublisherTestCase):
    async def test_a_plan_tells_added_changed_and_removed(self):
        await self.publish(builders.declared('a1', 'a2'))
        wanted = manifest.Manifest(
            builders.declared().services,
            (builders.adapter('a2', priority=7), builders.adapter('a3')),
        )
        plan = await self.publisher().plan(wanted)
        self.assertEqual(
            list(publishing.describe_deltas(plan)),
            ['~ adapter a2', '+ adapter a3', '- adapter a1'],
        )
