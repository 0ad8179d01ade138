"""A gateway that knows of a newer configuration and does not have it."""

import unittest

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow.gateway import _revisions
from berylhollow.gateway import _workspaces
from berylhollow.util import addresses
from test.hosted import test_gateway_direct
from test.hosted import test_workspaces
from test import platform_builders as builders

MODEL_ENDPOINT = '10.0.0.2:80'
HEARD_MS = 2000
READY_MS = 750
REFUSE_MS = 1500
KEY_BOUND_MS = 5000


class OutdatedTestCase(test_workspaces.WorkspaceTestCase):
    """Hears at ``HEARD_MS`` of a revision that is newer than its own."""

    first_report_revision = 7

    def setUp(self):
        super().setUp()
        self.list_instances(
            test_gateway_direct.plain('i-1', '10.0.0.1:80'),
            test_gateway_direct.direct_instance('i-2', MODEL_ENDPOINT),
        )
        self.open_link(
            addresses.sidecar_peer(MODEL_ENDPOINT), events.Role.ENDPOINT
        )
        self.state.follower.key_proof.bound_ms = KEY_BOUND_MS
        self.prove_keys(1000)
        self.report(
            MODEL_ENDPOINT, at_ms=1000, revision=self.first_report_revision
        )
        self.report(MODEL_ENDPOINT, at_ms=HEARD_MS, revision=9)

    def options(self):
        return {
            'neighbours_ms': 0,
            'keys_ready_ms': KEY_BOUND_MS,
            'outdated_ready_ms': READY_MS,
            'outdated_refuse_ms': REFUSE_MS,
        }

    def prove_keys(self, begun_ms):
        self.state.follower.key_proof.record_read(begun_ms)

    def publish_newer(self, version, at_ms):
        entry = builders.workspace('hule930', test_workspaces.KEY)
        self.declare(entry, version=version, at_ms=at_ms)
        self.feed(events.Ticked(at_ms, 0.5))

    def is_served(self, at_ms, **changes):
        """Return whether a request is sent to an endpoint."""
        self.send_request(at_ms=at_ms, **changes)
        if self.offers():
            return True
        answer = self.answer()
        self.assertIs(errors.Kind.CONFIGURATION_OUTDATED, answer.kind)
        self.assertIs(errors.Ran.NOT_RUN, answer.ran)
        self.assertGreater(answer.retry_after_ms, 0)
        return False

    def is_ready(self, at_ms):
        return _workspaces.should_accept_callers(self.state, at_ms)


class UnfoundedRevisionTest(OutdatedTestCase):
    """The log holds no newer revision, and nobody can show one."""

    def read_log(self, at_ms):
        """Read the whole log, which has nothing new."""
        self.feed(
            events.LogRead(
                at_ms,
                self.state.follower.stream,
                (),
                self.state.follower.next_offset,
                self.state.follower.next_offset,
                begun_ms=at_ms - 5,
            )
        )
        self.feed(events.Ticked(at_ms, 0.5))

    def test_refusals_for_a_wrong_number_end(self):
        """Guards against refusals without an end for a revision of nobody."""
        for at_ms in range(HEARD_MS, 60_000, 1000):
            self.read_log(at_ms)
            self.report(MODEL_ENDPOINT, at_ms=at_ms, revision=9)
        self.assertTrue(self.is_served(60_000))
        self.assertTrue(self.is_ready(60_000))


class OutdatedTest(OutdatedTestCase):
    def test_keys_stay_in_use_while_a_newer_revision_arrives(self):
        """Each change of a large configuration refused callers with a key."""
        self.assertTrue(self.is_served(HEARD_MS + 100))
        self.assertTrue(self.is_ready(HEARD_MS + 100))

    def test_nobody_is_served_by_an_outdated_configuration(self):
        """Callers without a key were served by it without any limit."""
        refuse_ms = HEARD_MS + REFUSE_MS
        for changes in ({}, {'path': test_workspaces.OPEN_PATH, 'key': None}):
            with self.subTest(**changes):
                self.assertTrue(self.is_served(refuse_ms - 1, **changes))
                self.assertFalse(self.is_served(refuse_ms, **changes))

    def test_refused_by_the_head_as_by_the_whole_request(self):
        head = events.RequestHead(
            builders.HOST, test_workspaces.OPEN_PATH, None, 0
        )
        refuse_ms = HEARD_MS + REFUSE_MS
        for at_ms, expected in (
            (refuse_ms - 1, None),
            (refuse_ms, _workspaces.OUTDATED),
        ):
            refusal = _workspaces.refused_by_head(self.state, head, at_ms)
            self.assertEqual(expected, refusal)

    def test_not_ready_before_requests_are_refused(self):
        self.assertTrue(self.is_ready(HEARD_MS + READY_MS - 1))
        self.assertFalse(self.is_ready(HEARD_MS + READY_MS))

    def test_request_that_waits_is_not_sent_by_an_outdated_configuration(self):
        self.send_request(
            test_gateway_direct.MODEL_PATH, adapter='a3', at_ms=HEARD_MS
        )
        self.assertEqual([], self.offers())
        self.feed(events.Ticked(HEARD_MS + REFUSE_MS, 0.5))
        self.assertIs(errors.Kind.CONFIGURATION_OUTDATED, self.answer().kind)

    def test_what_a_newer_revision_may_allow_is_not_denied(self):
        """A route or key of the newer revision was answered 404 or 401."""
        self.assertFalse(self.is_served(HEARD_MS, path='/added/x'))
        self.assertFalse(self.is_served(HEARD_MS, key='added'))

    def test_served_again_once_the_newer_revision_is_in_force(self):
        late_ms = HEARD_MS + REFUSE_MS
        self.assertFalse(self.is_served(late_ms))
        self.publish_newer(9, late_ms)
        self.prove_keys(late_ms)
        self.assertTrue(self.is_served(late_ms))
        self.assertTrue(self.is_ready(late_ms))
        self.send_request('/added/x', at_ms=late_ms)
        self.assertIs(errors.Kind.NOT_FOUND, self.answer().kind)

    def test_the_limit_counts_from_the_revision_that_is_missing(self):
        """Of two newer revisions the first comes into force."""
        later_ms = HEARD_MS + 1000
        self.report(MODEL_ENDPOINT, at_ms=later_ms, revision=10)
        self.publish_newer(9, later_ms)
        self.assertTrue(self.is_served(HEARD_MS + REFUSE_MS))
        self.assertFalse(self.is_served(later_ms + REFUSE_MS))

    def test_log_that_lost_a_newer_revision_proves_no_key(self):
        """A read that begins after it was heard of does not return it."""
        self.prove_keys(HEARD_MS + 1)
        self.send_request(at_ms=HEARD_MS + 10)
        self.assertIs(errors.Kind.KEY_UNPROVEN, self.answer().kind)

    def test_the_delay_of_a_revision_is_logged_and_counted(self):
        self.publish_newer(9, HEARD_MS + 200)
        (log,) = [
            log
            for log in self.of_type(effects.Log)
            if log.text == 'configuration in force'
        ]
        self.assertEqual((('revision', 9), ('known_ms', 200)), log.fields)
        lags = [
            count.value
            for count in self.of_type(effects.Count)
            if count.name == 'berylhollow.configuration.lag'
        ]
        self.assertEqual([0.2], lags)

    def test_refusals_of_an_outdated_configuration_are_logged_once(self):
        logged = []
        for at_ms in (HEARD_MS + REFUSE_MS, HEARD_MS + REFUSE_MS + 50):
            self.feed(events.Ticked(at_ms, 0.5))
            logged += [
                log.fields
                for log in self.of_type(effects.Log)
                if log.text == 'configuration is outdated'
            ]
        expected = (
            ('revision', 7),
            ('newest', 9),
            ('known_ms', REFUSE_MS),
            ('limit_ms', REFUSE_MS),
        )
        self.assertEqual([expected], logged)


class StartTest(OutdatedTestCase):
    """It starts and has never had the newest known revision."""

    first_report_revision = 9

    def test_no_key_is_used(self):
        """It may have read a log that has lost a revocation."""
        self.send_request(at_ms=HEARD_MS)
        self.assertIs(errors.Kind.KEY_UNPROVEN, self.answer().kind)


class KnownRevisionsTest(unittest.TestCase):
    def test_memory_is_bounded_and_keeps_the_earliest(self):
        known = _revisions.KnownRevisions()
        for revision in range(2, 1000):
            known.record(revision, 1, revision)
        self.assertLessEqual(
            len(known.heard_ms), _revisions.MAX_NEWER_REVISIONS
        )
        self.assertEqual(998, known.behind_ms(1, 1000))
        known.reach(500, 2000)
        self.assertEqual(10, known.behind_ms(500, 2010))
        known.reach(999, 3000)
        self.assertIsNone(known.behind_ms(999, 3000))
