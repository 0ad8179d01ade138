"""Tests of ``Follower``: gaps, outages, duplicates, log retention."""

import unittest

from berylhollow import configuration
from berylhollow import effects
from berylhollow import events
from berylhollow import messages
from test import builders as request_builders
from test import configuration_builders as builders
from test import fleet as fleets

# A change must be in force in every process within this time.
PROPAGATION_LIMIT_MS = 8000


def changes(count, first=1):
    """Return changes after ``builders.whole()``, each based on the last."""
    return [
        builders.change(
            base, f'c{base}', builders.put('a2', versions=(str(base),))
        )
        for base in range(first, first + count)
    ]


class PropagationTest(unittest.TestCase):
    def test_all_processes_follow_though_few_read_the_log(self):
        names = [f'g{number}' for number in range(6)] + ['s1', 's2', 's3']
        fleet = fleets.Fleet(*names)
        fleet.link_all()
        fleet.publish(builders.whole())
        fleet.run(5000)
        self.assertEqual(set(fleet.revisions().values()), {1})
        fleet.reads.clear()
        fleet.publish(*changes(1))
        fleet.run(3000)
        self.assertEqual(set(fleet.revisions().values()), {2})
        self.assertEqual(
            len(fleet.reads), configuration.READERS_PER_DOMAIN, fleet.reads
        )

    def test_entries_of_a_gap_are_requested(self):
        """A push is lost with its link; the next one arrives on a new link.

        A process that folds the second entry without the first would check
        its base revision against a wrong state.
        """
        fleet = fleets.Fleet('g1', 's1')
        fleet.link_all()
        fleet.publish(builders.whole())
        fleet.run(3000)
        lost, kept = changes(2)
        sidecar = fleet.followers['s1']
        fleet.publish(lost, kept)
        entry = messages.LogEntry(2, 0, kept)
        fleet.feed(
            's1',
            events.MessageReceived(
                fleet.clock.now_ms(),
                'g1',
                messages.ConfigurationEntries((entry,), 3),
            ),
        )
        self.assertEqual(sidecar.current.revision, 1)
        (asked,) = fleet.queues['s1', 'g1']
        self.assertTrue(asked.wanted)
        self.assertEqual(asked.next_offset, 1)
        fleet.run(1000)
        self.assertEqual(sidecar.current.revision, 3)

    def test_messages_lost_with_a_link_are_sent_again_when_it_opens(self):
        fleet = fleets.Fleet('g1', 's1')
        fleet.link_all()
        fleet.publish(builders.whole())
        fleet.run(3000)
        fleet.publish(*changes(1))
        fleet.tick('g1')
        fleet.answer('g1')
        self.assertTrue(fleet.queues['g1', 's1'])
        fleet.cut('g1', 's1')
        fleet.link('g1', 's1')
        fleet.deliver_all()
        self.assertEqual(fleet.revision('s1'), 2)

    def test_large_entries_are_announced_and_sent_once(self):
        """A whole manifest must not be sent by every linked gateway."""
        fleet = fleets.Fleet('g1', 'g2', 'g3', 's1')
        fleet.read_fails = {'s1'}
        fleet.link_all()
        fleet.run(3000)
        fleet.sent.clear()
        names = [f'{"x" * 60}{number * 7919}' for number in range(2000)]
        large = configuration.encode_change(
            configuration.Change(0, 'op', 'w', whole=builders.declared(*names))
        )
        self.assertGreater(len(large), configuration.MAX_PUSH_BYTES)
        fleet.publish(large)
        fleet.run(3000)
        self.assertEqual(set(fleet.revisions().values()), {1})
        # Two of the gateways read the log; the other processes request it.
        self.assertLessEqual(fleet.sent[messages.ConfigurationEntries], 2)

    def test_entries_are_pushed_to_peers_known_only_from_the_tick(self):
        follower = configuration.Follower('g1', events.Role.GATEWAY)
        follower.start(0)
        follower.tick(0, ['g1', 'g2'], ['g2', 's1'])
        entry = messages.LogEntry(0, 0, builders.whole())
        sent = follower.handle(
            events.LogRead(1, configuration.STREAM, (entry,), 0, 1)
        )
        pushed = {
            effect.peer
            for effect in sent
            if isinstance(effect, effects.Send)
            and isinstance(effect.message, messages.ConfigurationEntries)
        }
        self.assertEqual(pushed, {'g2', 's1'})

    def test_an_offer_of_a_newer_revision_makes_a_sidecar_request_entries(
        self,
    ):
        fleet = fleets.Fleet('g1', 's1')
        fleet.link_all()
        fleet.publish(builders.whole())
        fleet.run(3000)
        offer = request_builders.offer(revision=2)
        fleet.feed(
            's1', events.MessageReceived(fleet.clock.now_ms(), 'g1', offer)
        )
        (asked,) = fleet.queues['s1', 'g1']
        self.assertTrue(asked.wanted)


class ReaderFailureTest(unittest.TestCase):
    def test_readers_that_are_listed_but_dead(self):
        """The chosen readers are dead but still in the instance list.

        A process that relied on them would stay on its revision until the
        list is updated.
        """
        fleet = fleets.Fleet('g1', 'g2', 'g3', 'g4')
        fleet.link_all()
        fleet.publish(builders.whole())
        fleet.run(3000)
        readers = [
            name
            for name, follower in fleet.followers.items()
            if follower.status(0).reads_log
        ]
        fleet.live = list(fleet.followers)
        for name in readers:
            for other in fleet.live:
                fleet.cut(name, other)
            del fleet.followers[name]
        self.assertEqual(len(fleet.followers), 2)
        fleet.publish(*changes(1))
        fleet.run(PROPAGATION_LIMIT_MS)
        self.assertEqual(set(fleet.revisions().values()), {2})

    def test_feeders_that_hang_do_not_keep_a_sidecar_behind(self):
        """Both gateways that feed a sidecar are paused; their links stay open.

        Its third gateway does not feed it and would never send it anything.
        """
        fleet = fleets.Fleet('g1', 'g2', 'g3', 's1')
        fleet.read_fails = {'s1'}
        fleet.link_all()
        fleet.publish(builders.whole())
        fleet.run(3000)
        feeders = [
            name
            for name in ('g1', 'g2', 'g3')
            if 's1' in fleet.followers[name].propagator.fed_sidecars
        ]
        self.assertEqual(len(feeders), 2)
        fleet.paused = set(feeders)
        fleet.publish(*changes(1))
        fleet.run(PROPAGATION_LIMIT_MS)
        self.assertEqual(fleet.revision('s1'), 2)

    def test_the_list_of_live_gateways_is_empty(self):
        fleet = fleets.Fleet('g1', 'g2', 's1')
        fleet.live = []
        fleet.publish(builders.whole())
        fleet.run(12_000)
        self.assertEqual(set(fleet.revisions().values()), {1})
        fleet.publish(*changes(1))
        fleet.run(45_000)
        self.assertEqual(set(fleet.revisions().values()), {2})


class StartTest(unittest.TestCase):
    def test_a_new_process_gets_the_newest_revision_from_peers_in_an_outage(
        self,
    ):
        """A gateway is replaced while the log is down and one peer lags.

        If the new process served the revision of the first peer to report, it
        could serve an older revision than its predecessor.
        """
        fleet = fleets.Fleet('g1', 'g2', 's1')
        fleet.link_all()
        fleet.publish(builders.whole())
        fleet.run(3000)
        fleet.cut('g1', 's1')
        fleet.cut('g2', 's1')
        fleet.read_fails = {'s1'}
        fleet.publish(*changes(2))
        fleet.run(3000)
        self.assertEqual(fleet.revisions(), {'g1': 3, 'g2': 3, 's1': 1})
        fleet.log.start_fault('log_down', 3_600_000)
        fleet.begin('g2')
        fleet.link('g2', 's1')
        fleet.run(300)
        self.assertEqual(fleet.revision('g2'), 0)
        fleet.link('g2', 'g1')
        fleet.run(3000)
        self.assertEqual(fleet.revision('g2'), 3)
        self.assertEqual(fleet.revision('s1'), 3)

    def test_nothing_is_served_before_the_end_of_the_log_is_known(self):
        """The newest snapshot can be read but the entries after it can't.

        Serving the snapshot would undo the changes made after it.
        """
        fleet = fleets.Fleet('g1')
        fleet.publish(builders.whole())
        fleet.run(1000)
        snapshot = fleet.followers['g1'].history.snapshot()
        fleet.log.put(configuration.SNAPSHOT_STREAM, snapshot)
        fleet.publish(*changes(3))
        fleet.begin('g1')
        for _ in range(2):
            fleet.answer('g1')
        self.assertEqual(
            fleet.followers['g1'].history.state.configuration.revision, 1
        )
        fleet.log.start_fault('log_down', 30_000)
        fleet.run(20_000)
        self.assertEqual(fleet.revision('g1'), 0)
        fleet.run(15_000)
        self.assertEqual(fleet.revision('g1'), 4)

    def test_no_configuration_is_served_while_the_log_is_empty(self):
        fleet = fleets.Fleet('g1', 's1')
        fleet.link_all()
        fleet.run(5000)
        self.assertIsNone(fleet.followers['g1'].current)
        fleet.publish(builders.whole())
        fleet.run(3000)
        self.assertEqual(fleet.revisions(), {'g1': 1, 's1': 1})


class RevertTest(unittest.TestCase):
    def setUp(self):
        self.fleet = fleets.Fleet('g1', 's1')
        self.fleet.link_all()
        self.fleet.publish(builders.whole())
        self.fleet.run(3000)
        self.old = self.fleet.followers['g1'].history.snapshot()
        self.fleet.publish(*changes(3))
        self.fleet.run(3000)

    def test_an_old_snapshot_from_a_peer_changes_nothing(self):
        """A peer that lags sends a snapshot of its old state.

        A process that installs it would restore a version that the operators
        have removed.
        """
        message = messages.ConfigurationSnapshot(self.old)
        event = events.MessageReceived(
            self.fleet.clock.now_ms(), 'g1', message
        )
        self.fleet.feed('s1', event)
        self.assertEqual(self.fleet.revision('s1'), 4)

    def test_duplicate_and_late_entries_change_nothing(self):
        digest = self.fleet.followers['s1'].status(0).digest
        entries = self.fleet.followers['g1'].history.entries_from(0)
        for part in (entries, entries[:1], entries[2:]):
            message = messages.ConfigurationEntries(part, 4)
            self.fleet.feed(
                's1',
                events.MessageReceived(
                    self.fleet.clock.now_ms(), 'g1', message
                ),
            )
        self.assertEqual(self.fleet.revision('s1'), 4)
        self.assertEqual(self.fleet.followers['s1'].status(0).digest, digest)

    def test_the_served_revision_stays_when_the_history_goes_back(self):
        follower = self.fleet.followers['s1']
        follower.history.state = configuration.from_snapshot(self.old)
        follower.advance(self.fleet.clock.now_ms())
        self.assertEqual(follower.current.revision, 4)


class RetentionTest(unittest.TestCase):
    def test_snapshots_are_renewed_when_nothing_changes(self):
        """Nobody publishes for longer than the log keeps records.

        The log drops the last change and all older snapshots. A process that
        starts afterwards must still find the configuration in the log.
        """
        fleet = fleets.Fleet('g1', 'g2', retention_ms=3_600_000)
        fleet.publish(builders.whole(), *changes(2))
        fleet.run(2000)
        for _ in range(10):
            self.advance_clock(fleet, 20 * 60 * 1000)
        # All processes are replaced at once, so only the log has the state.
        fleet.begin('g1')
        fleet.begin('g2')
        fleet.run(5000)
        self.assertEqual(fleet.revisions(), {'g1': 3, 'g2': 3})
        records = fleet.log.model.streams[configuration.STREAM]
        self.assertEqual(records.first_offset, records.next_offset)

    def advance_clock(self, fleet, duration_ms):
        """Advance the clock in one step, then run the work that is due."""
        fleet.clock.advance(duration_ms)
        fleet.run(1000)

    def test_a_paused_writer_writes_an_old_snapshot_after_the_new(self):
        """A gateway is paused while it writes a snapshot.

        It resumes after the log has dropped the entries that follow its
        snapshot, and this outdated snapshot becomes the last one in the log.
        """
        fleet = fleets.Fleet('g1', retention_ms=60_000)
        fleet.publish(builders.whole())
        fleet.run(1000)
        old = fleet.followers['g1'].history.snapshot()
        fleet.publish(*changes(2))
        fleet.run(1000)
        new = fleet.followers['g1'].history.snapshot()
        fleet.clock.advance(90_000)
        fleet.publish(*changes(1, first=3))
        fleet.log.put(configuration.SNAPSHOT_STREAM, new, old)
        fleet.begin('g1')
        fleet.run(3000)
        self.assertEqual(fleet.revision('g1'), 4)

    def test_a_gap_is_reported_and_not_skipped(self):
        fleet = fleets.Fleet('g1', retention_ms=60_000)
        fleet.publish(builders.whole())
        fleet.clock.advance(90_000)
        fleet.publish(*changes(1))
        fleet.run(5000)
        status = fleet.followers['g1'].status(fleet.clock.now_ms())
        self.assertTrue(status.gap)
        self.assertEqual((status.revision, status.next_offset), (0, 0))

    def test_a_snapshot_is_written_again_after_a_failed_append(self):
        fleet = fleets.Fleet('g1')
        fleet.publish(builders.whole())
        fleet.run(1000)
        fleet.log.start_fault('log_down', 130_000)
        fleet.run(125_000)
        records = fleet.log.model.streams[configuration.SNAPSHOT_STREAM]
        self.assertEqual(records.next_offset, 0)
        fleet.run(40_000)
        self.assertEqual(records.next_offset, 1)


class TwoVersionsTest(unittest.TestCase):
    def test_older_software_stops_and_reports_the_reason(self):
        """Newer software publishes a change under an unsupported rule.

        An older process must stay on its revision, continue to serve and
        name the rule in its status; later entries must not change that.
        """
        fleet = fleets.Fleet('g1', 's1')
        fleet.link_all()
        fleet.publish(builders.whole())
        fleet.run(3000)
        newer = builders.with_rule(changes(1)[0], 2)
        fleet.publish(newer, *changes(2))
        fleet.run(15_000)
        for name in ('g1', 's1'):
            status = fleet.followers[name].status(fleet.clock.now_ms())
            self.assertEqual(status.revision, 1)
            self.assertEqual(status.next_offset, 1)
            self.assertGreater(status.age_ms, 10_000)
        status = fleet.followers['g1'].status(fleet.clock.now_ms())
        self.assertIn('rule 2', status.stopped)
