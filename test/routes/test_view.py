"""Which route a request takes and on what terms it is served."""

import unittest

from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow import platform
from berylhollow import routes
from berylhollow.routes import _view
from test import builders as samples
from test import platform_builders as builders

STARTED_MS = 100_000
LONG_MS = 60_000


def view(*entries, newest=None):
    record = builders.configuration_record(routes=list(entries))
    return routes.RouteView.from_table(
        platform.decode_configuration_record(record), newest or {}
    )


def request(path='/lohu930/x', **changes):
    values = {'host': builders.HOST, 'path': path, 'adapter': None}
    return samples.request(**(values | changes))


class ResolveTest(unittest.TestCase):
    def test_longest_prefix_of_the_host_wins(self):
        found = view(
            builders.route('short', '/a/'),
            builders.route('long', '/a/b/'),
            builders.route('other', '/a/b/c/', Host='else.example'),
        )
        self.assertEqual('long', found.resolve(request('/a/b/c/d'), 0).route)
        self.assertEqual('short', found.resolve(request('/a/bc'), 0).route)
        self.assertIs(errors.Kind.NOT_FOUND, found.resolve(request('/ab/'), 0))

    def test_query_is_no_part_of_the_path(self):
        found = view(builders.route('r', '/a/'))
        refused = found.resolve(request('/b?/a/'), 0)
        self.assertIs(errors.Kind.NOT_FOUND, refused)
        self.assertEqual('r', found.resolve(request('/a/?x=/b/'), 0).route)

    def test_shares_follow_the_weights(self):
        split = [
            {'Service': 'huvo11a', 'Weight': 90},
            {'Service': 'wuno96b', 'Weight': 10},
        ]
        found = view(builders.route(TrafficSplit=split))
        picked = [
            found.resolve(request(), seed / 100).service for seed in range(100)
        ]
        self.assertEqual(90, picked.count('huvo11a'))
        self.assertEqual(10, picked.count('wuno96b'))

    def test_earlier_of_timeout_and_deadline_holds(self):
        found = view(builders.route(TimeoutMs=5000))
        early = found.resolve(request(deadline_ms=100), 0)
        late = found.resolve(request(deadline_ms=60_000), 0)
        self.assertEqual([100, 5000], [early.deadline_ms, late.deadline_ms])

    def test_stream_may_be_repeated_only_if_resumable(self):
        found = view(
            builders.route('once', '/a/'),
            builders.route('again', '/b/', Resumable=True),
            builders.route('safe', '/c/', Kind='safe'),
            builders.route('unsafe', '/d/', Kind='unsafe'),
        )
        repeatable = [
            found.resolve(request(path), 0).repeatable
            for path in ('/a/', '/b/', '/c/', '/d/')
        ]
        self.assertEqual([False, True, True, False], repeatable)

    def test_adapter_is_resolved_to_its_newest_version(self):
        name = builders.adapter_name()
        newest = {name: _view.NewestVersion('4', 1000, '3')}
        found = view(builders.route(), newest=newest)
        adapter = messages.AdapterVersion(name, '')
        terms = found.resolve(request(adapter=adapter), 0)
        self.assertEqual('4', terms.adapter.version)

    def test_newest_version_comes_before_the_one_that_it_replaces(self):
        name = builders.adapter_name()
        newest = {name: _view.NewestVersion('4', 1000, '3')}
        found = view(builders.route(), newest=newest)
        adapter = messages.AdapterVersion(name, '4')
        accepted = found.candidate_versions(adapter)
        self.assertEqual(['4', '3'], [a.version for a in accepted])


class AdmissionTest(unittest.TestCase):
    """Which services have their prompts admitted by sidecars."""

    def terms(self, *gaps_ms, steps):
        entries = [
            builders.route(f'r-{number}', f'/a{number}/', GapTargetMs=gap_ms)
            for number, gap_ms in enumerate(gaps_ms)
        ]
        record = builders.configuration_record(
            routes=entries, engine={'Stride': steps}
        )
        table = platform.decode_configuration_record(record)
        found = routes.RouteView.from_table(table, {})
        return found.admission(builders.MODEL_SERVICE)

    def test_shortest_gap_of_a_service_counts(self):
        terms = self.terms(600, 400, steps=4)
        self.assertEqual((400, 4), (terms.event_gap_ms, terms.event_steps))

    def test_gap_that_allows_for_a_chunk_a_step_needs_no_admission(self):
        """Guards against a change for deployments that don't call for it."""
        self.assertIsNone(self.terms(400, steps=3))
        self.assertIsNone(self.terms(500, steps=4))
        self.assertIsNone(self.terms(400, steps=2))

    def test_event_of_one_step_needs_no_admission(self):
        self.assertIsNone(self.terms(50, steps=1))

    def test_route_without_a_gap_does_not_count(self):
        self.assertIsNone(self.terms(0, 0, steps=4))
        self.assertEqual(400, self.terms(0, 400, steps=4).event_gap_ms)

    def test_plain_service_needs_no_admission(self):
        found = view(builders.route(GapTargetMs=100))
        self.assertIsNone(found.admission(builders.PLAIN_SERVICE))


class SupersededVersionTest(unittest.TestCase):
    def newest(self, *times):
        """Return what is known after versions 2, 3, ... came at ``times``."""
        first, *later = times
        newest = _view.NewestVersion('2', first, '1')
        for number, at_ms in enumerate(later, start=3):
            newest = newest.replaced_by(str(number), at_ms)
        return newest

    def test_version_is_superseded_by_the_first_newer_one(self):
        """Guards against an age that starts anew with each newer version."""
        newest = self.newest(1000, 5000, 9000)
        since = [newest.superseded_since_ms(v) for v in ('1', '2', '3', '4')]
        self.assertEqual([1000, 5000, 9000, None], since)

    def test_version_that_was_never_seen_is_superseded_too(self):
        """Guards against a gap in the numbers, as after dropped history."""
        newest = _view.NewestVersion('7', 1000, '4')
        since = [newest.superseded_since_ms(v) for v in ('4', '6', '7')]
        self.assertEqual([1000, 1000, None], since)

    def test_many_versions_never_look_younger(self):
        times = range(1000, 101_000, 1000)
        newest = self.newest(*times)
        for version, at_ms in enumerate(times, start=1):
            since_ms = newest.superseded_since_ms(str(version))
            self.assertLessEqual(since_ms, at_ms)
        self.assertLessEqual(
            len(newest.superseded), _view.MAX_SUPERSEDED_VERSIONS + 1
        )


class FollowerTest(unittest.TestCase):
    def setUp(self):
        self.follower = routes.RouteFollower(
            platform.CONFIGURATION_STREAM, platform.decode_configuration_record
        )
        self.follower.start(0)

    def read_all(self):
        """Read the whole log; the read began 5 ms before ``STARTED_MS``."""
        self.read(
            builders.configuration_record(9),
            at_ms=STARTED_MS,
            begun_ms=STARTED_MS - 5,
        )

    def drop_history(self, at_ms):
        stream = platform.CONFIGURATION_STREAM
        failed = events.LogReadFailed(at_ms, stream, first_offset=50)
        self.follower.handle(failed)

    def superseded_ms(self, version, at_ms):
        adapter = messages.AdapterVersion(builders.adapter_name(), version)
        return self.follower.current.superseded_ms(adapter, at_ms)

    def read(self, *records, at_ms=10, next_offset=1, **changes):
        first_offset = changes.get('from_offset', 0)
        entries = tuple(
            messages.LogEntry(offset, 0, data)
            for offset, data in enumerate(records, start=first_offset)
        )
        return self.follower.handle(
            events.LogRead(
                at_ms,
                platform.CONFIGURATION_STREAM,
                entries,
                0,
                next_offset,
                **changes,
            )
        )

    def test_older_version_never_replaces_a_newer_one(self):
        """Routes must not go back.

        A process has served version 9; a read that was begun earlier and
        answered later returns version 7. A caller would get an answer that
        only the old version allows.
        """
        self.read(builders.configuration_record(9))
        self.read(builders.configuration_record(7))
        self.assertEqual(9, self.follower.current.revision)

    def test_dropped_history_is_read_from_the_newest_records(self):
        """The store drops its history while no gateway reads.

        The next read fails because its records are gone. Reading on from the
        first remaining offset would miss a version that only the newest
        record of its key still holds.
        """
        self.read(builders.configuration_record(9))
        failed = events.LogReadFailed(
            20, platform.CONFIGURATION_STREAM, first_offset=50
        )
        self.follower.handle(failed)
        (wanted,) = self.follower.tick(400, [], [], '')
        self.assertEqual(platform.CONFIGURATION_STREAM, wanted.stream)
        self.assertIsNone(self.follower.next_offset)

    def test_loss_and_return_of_the_store_are_logged_once(self):
        self.read(builders.configuration_record(9))
        failed = events.LogReadFailed(50, platform.CONFIGURATION_STREAM)
        texts = []
        for event in (failed, failed):
            texts += [log.text for log in self.follower.handle(event)]
        texts += [log.text for log in self.read(at_ms=90)[:1]]
        self.assertEqual(
            ['stream can not be read', 'stream is read again'], texts
        )

    def test_version_found_at_the_start_counts_as_known_for_long(self):
        """Guards against an old version that a new gateway takes for recent.

        A gateway starts long after a version was replaced. It may offer only
        the newest one at once.
        """
        self.read(
            builders.configuration_record(9),
            builders.version_record(version=4),
            at_ms=STARTED_MS,
            begun_ms=STARTED_MS - 5,
        )
        self.assertLess(LONG_MS, self.superseded_ms('1', STARTED_MS))

    def test_version_named_after_the_start_counts_from_its_read(self):
        self.read_all()
        self.read(
            builders.version_record(version=2),
            at_ms=STARTED_MS + 700,
            begun_ms=STARTED_MS + 5,
            from_offset=1,
            next_offset=2,
        )
        self.assertEqual(10, self.superseded_ms('1', STARTED_MS + 710))

    def test_version_found_after_dropped_history_counts_from_before(self):
        """Guards against a time limit that starts when a gap is closed.

        The store drops records that were not read yet. The versions among
        them may be as old as the last read that saw the whole log.
        """
        self.read_all()
        self.drop_history(STARTED_MS + 4000)
        self.read(builders.version_record(version=2), at_ms=STARTED_MS + 4300)
        self.assertEqual(4305, self.superseded_ms('1', STARTED_MS + 4300))

    def test_records_of_another_process_close_a_gap_too(self):
        """Guards against attempts that are ended for a version named now."""
        self.read_all()
        self.read(at_ms=STARTED_MS + 3900, from_offset=1)
        self.drop_history(STARTED_MS + 4000)
        self.read(builders.version_record(version=2), at_ms=STARTED_MS + 4300)
        self.assertEqual(400, self.superseded_ms('1', STARTED_MS + 4300))

    def test_version_found_after_a_restore_counts_from_before(self):
        """Guards against the same after the log came from an older copy."""
        self.read_all()
        for at_ms in (STARTED_MS + 4000, STARTED_MS + 4010):
            self.read(
                builders.version_record(version=2),
                at_ms=at_ms,
                begun_ms=at_ms - 5,
                era=1,
            )
        self.assertEqual(4005, self.superseded_ms('1', STARTED_MS + 4000))

    def test_version_found_late_counts_from_the_last_complete_read(self):
        """Guards against a limit that starts when a lost read is repeated.

        A connection to the store goes silent, or this process stands still,
        while a version is named and the store is well.
        """
        for case, begun_ms, at_ms in (
            ('after a lost read', 2150, 2160),
            ('by a read that is late itself', 0, 2160),
        ):
            with self.subTest(case):
                self.setUp()
                self.read_all()
                self.read(
                    builders.version_record(version=2),
                    at_ms=STARTED_MS + at_ms,
                    begun_ms=STARTED_MS + begun_ms,
                    from_offset=1,
                    next_offset=2,
                )
                superseded_ms = self.superseded_ms('1', STARTED_MS + at_ms)
                self.assertEqual(at_ms + 5, superseded_ms)

    def test_version_named_in_a_pause_counts_from_the_last_tick(self):
        """Guards against a limit that starts when the process runs again.

        The pause is shorter than the store may hold a read.
        """
        self.read_all()
        self.follower.tick(STARTED_MS + 100, [], [], 'g1')
        self.read(
            builders.version_record(version=2),
            at_ms=STARTED_MS + 1300,
            begun_ms=STARTED_MS,
            from_offset=1,
            next_offset=2,
        )
        self.assertEqual(1200, self.superseded_ms('1', STARTED_MS + 1300))

    def test_version_found_by_another_gateway_counts_from_its_last_part(self):
        """Guards against a limit that starts when another gateway takes over.

        The gateway that reads for others ends. The next one reads a second
        later what was named meanwhile.
        """
        self.read_all()
        self.read(at_ms=STARTED_MS + 800, from_offset=1)
        self.read(
            builders.version_record(version=2),
            at_ms=STARTED_MS + 2000,
            from_offset=1,
            next_offset=2,
        )
        self.assertEqual(1200, self.superseded_ms('1', STARTED_MS + 2000))

    def test_version_is_not_older_than_the_one_before(self):
        """Guards against an age that is counted from before the naming."""
        self.read_all()
        self.read(
            builders.version_record(version=2),
            at_ms=STARTED_MS + 1000,
            begun_ms=STARTED_MS,
            from_offset=1,
            next_offset=2,
        )
        self.drop_history(STARTED_MS + 1010)
        self.read(builders.version_record(version=3), at_ms=STARTED_MS + 1300)
        self.assertEqual(300, self.superseded_ms('2', STARTED_MS + 1300))

    def test_malformed_record_is_logged_and_skipped(self):
        done = self.read(b'\x06config{', builders.configuration_record(9))
        self.assertEqual('record not understood', done[0].text)
        self.assertEqual(9, self.follower.current.revision)

    def test_records_of_two_reads_are_decoded_once(self):
        """Each copy of a large configuration stopped the gateway for long."""
        decoded = []

        def decode(data):
            decoded.append(data)
            return platform.decode_configuration_record(data)

        self.read(next_offset=4)
        self.follower.decode = decode
        record = builders.configuration_record(7)
        entry = messages.LogEntry(4, 0, record)
        stream = platform.CONFIGURATION_STREAM
        read = events.LogRead(10, stream, (entry,), 0, 5, from_offset=4)
        self.follower.handle(read)
        self.follower.handle(events.LogChecked(20, stream, read))
        self.assertEqual([record], decoded)

    def test_records_of_a_restored_log_are_decoded(self):
        """It has other records at the same offsets."""
        stream = platform.CONFIGURATION_STREAM
        for era, version in ((0, 7), (1, 8)):
            record = builders.configuration_record(version)
            entry = messages.LogEntry(4, 0, record)
            self.follower.handle(
                events.LogRead(10, stream, (entry,), 0, 5, era)
            )
        self.assertEqual(8, self.follower.current.revision)

    def test_lost_read_is_begun_again(self):
        """A connection goes silent: no answer and no error ever comes."""
        self.assertEqual([], self.follower.tick(3000, [], [], ''))
        self.assertEqual(1, len(self.follower.tick(4000, [], [], '')))
