"""Tests of publishing: accepted, conflicting and rejected changes, outages."""

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

    def new_publisher(self):
        session = publishing.Session(self.log, self.log.clock, self.log.sleep)
        return publishing.Publisher(session, TIMEOUT_MS)

    async def publish(self, wanted, operator='op', base=None):
        publisher = self.new_publisher()
        plan = await publisher.plan(wanted, base)
        return await publisher.publish(plan, wanted, operator)

    async def read_configuration(self):
        """Return the configuration that a newly started process reads."""
        session = publishing.Session(self.log, self.log.clock, self.log.sleep)
        await session.catch_up(TIMEOUT_MS)
        return session.state.configuration

    def change_records(self):
        return self.log.model.streams[configuration.STREAM].records


class PublisherTest(PublisherTestCase):
    async def test_whole_manifest_first_then_only_what_differs(self):
        self.assertEqual(await self.publish(builders.declared('a1')), 1)
        self.assertEqual(await self.publish(builders.declared('a2')), 2)
        change = configuration.decode_change(self.change_records()[1].data)
        self.assertEqual(
            change.deltas, (builders.put('a2'), builders.remove('a1'))
        )
        present = await self.read_configuration()
        self.assertEqual(present.manifest(), builders.declared('a2'))

    async def test_older_file_rolls_back_as_a_new_revision(self):
        await self.publish(builders.declared('a1'))
        await self.publish(builders.declared('a1', 'a2'))
        self.assertEqual(await self.publish(builders.declared('a1')), 3)
        self.assertEqual(
            (await self.read_configuration()).manifest(),
            builders.declared('a1'),
        )

    async def test_a_racing_operator_is_told_what_won(self):
        """Two operators plan against revision 1 and publish concurrently.

        The one with the later offset must be told that its change has no
        effect, and which change to look at before trying again.
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
        self.assertEqual((await self.read_configuration()).revision, 2)

    async def test_a_base_that_was_replaced_is_a_conflict_unpublished(self):
        await self.publish(builders.declared('a1'))
        await self.publish(builders.declared('a2'), 'ana')
        with self.assertRaises(publishing.ConflictError) as caught:
            await self.publish(builders.declared('a3'), base=1)
        self.assertIn('revision 2 by ana', str(caught.exception))
        self.assertEqual(len(self.change_records()), 2)


class LostAnswerTest(PublisherTestCase):
    async def test_a_lost_answer_is_settled_by_reading_the_log(self):
        """The append succeeds but its response is lost.

        A naive command would report a failure. The operator's pipeline would
        publish again on a base that its own change has replaced, and report a
        conflict for a change that is in force.
        """
        self.log.start_fault(model_log.Fault.APPEND_ANSWER_LOST, 100)
        self.assertEqual(await self.publish(builders.declared('a1')), 1)
        self.assertEqual((await self.read_configuration()).revision, 1)

    async def test_copies_of_a_change_are_accepted_once(self):
        """A response is lost and the log can't be read for a while.

        The command appends again, so the log has two copies. The first one is
        accepted, and the command reports its revision.
        """
        await self.publish(builders.declared('a1'))
        self.log.read_fails = lambda: len(self.change_records()) == 2
        self.log.start_fault(model_log.Fault.APPEND_ANSWER_LOST, 100)
        self.assertEqual(await self.publish(builders.declared('a2')), 2)
        self.assertEqual(len(self.change_records()), 3)
        self.assertEqual((await self.read_configuration()).revision, 2)

    async def test_an_outage_that_stays_is_said_to_be_unsettled(self):
        """The response is lost and the log can't be read afterwards.

        The command must report that the outcome is unknown. A later
        ``settle`` must find it, even after a snapshot and another change.
        """
        await self.publish(builders.declared('a1'))
        self.log.start_fault(model_log.Fault.APPEND_ANSWER_LOST, 50_000)
        self.log.read_fails = lambda: len(self.change_records()) > 1
        with self.assertRaises(publishing.UnsettledError) as caught:
            await self.publish(builders.declared('a2'))
        self.log.read_fails = lambda: False
        self.log.clock.advance(100_000)
        await self.publish(builders.declared('a3'))
        await self.write_snapshot()
        revision = await self.new_publisher().settle_from_earlier_session(
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
            await self.new_publisher().settle_from_earlier_session(
                'nobody-sent-it'
            )


class TrimmedLogTest(PublisherTestCase):
    def setUp(self):
        self.log = model_log.ModelLog(retention_ms=10_000)

    async def write_snapshots(self, *states):
        for state in states:
            self.log.put(configuration.SNAPSHOT_STREAM, state.snapshot())

    async def test_a_snapshot_stands_in_for_a_trimmed_prefix(self):
        """The log has deleted the first change; a snapshot contains it.

        The last snapshot on the log is outdated, as a process that had been
        paused wrote it: using only that one would leave a gap.
        """
        await self.publish(builders.declared('a1'))
        old = await self.read_state()
        await self.publish(builders.declared('a1', 'a2'))
        new = await self.read_state()
        self.log.clock.advance(20_000)
        await self.write_snapshots(new, old)
        present = await self.read_configuration()
        self.assertEqual(present.revision, 2)
        self.assertEqual(present.manifest(), builders.declared('a1', 'a2'))
        self.assertEqual(await self.publish(builders.declared('a3')), 3)

    async def test_a_gap_is_never_skipped(self):
        """The first records are deleted and only an old snapshot is left.

        A naive reader would continue at the first available record and
        evaluate it against a revision that is not the one in force.
        """
        await self.publish(builders.declared('a1'))
        old = await self.read_state()
        await self.publish(builders.declared('a1', 'a2'))
        self.log.clock.advance(20_000)
        self.log.put(
            configuration.STREAM, builders.change(2, 'x', builders.put('a3'))
        )
        await self.write_snapshots(old)
        with self.assertRaises(publishing.UnavailableError) as caught:
            await self.read_configuration()
        self.assertIn('no longer holds', str(caught.exception))

    async def read_state(self):
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
        plan = await self.new_publisher().plan(wanted)
        self.assertEqual(
            list(publishing.describe_deltas(plan)),
            ['~ adapter a2', '+ adapter a3', '- adapter a1'],
        )
