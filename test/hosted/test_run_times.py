"""Which requests a gateway still sends once it is told to stop."""

import unittest

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow.util import longest
from test.hosted import test_gateway_direct
from test import platform_builders as builders

LONG_MS = 12_000
NOTICE_MS = 2500
STOP_GRACE_MS = 4800
STOP_MS = NOTICE_MS + STOP_GRACE_MS
"""How long after the announcement the gateway ends."""


class StopTest(test_gateway_direct.DirectTestCase):
    def options(self):
        return {'stop_grace_ms': STOP_GRACE_MS}

    def configure(self):
        route = builders.plain_route(TimeoutMs=2 * LONG_MS)
        self.publish(builders.configuration_record(routes=[route]))

    def setUp(self):
        super().setUp()
        self.list_instances(
            test_gateway_direct.plain('i-1', '10.0.0.1:80'),
        )

    def run_for(self, duration_ms, at_ms):
        """Let a request end that has run for some time."""
        self.send_request(at_ms=at_ms - duration_ms)
        _, offer = self.offered()
        self.feed(
            events.AnswerRelayed(
                at_ms, offer.request_id, offer.attempt_id, 200
            )
        )

    def announce(self, at_ms):
        self.feed(events.StopAnnounced(at_ms, NOTICE_MS))

    def is_sent(self, at_ms, deadline_ms=LONG_MS):
        self.send_request(at_ms=at_ms, deadline_ms=deadline_ms)
        if self.offers():
            return True
        (answer,) = self.of_type(effects.AnswerError)
        self.assertIs(errors.Kind.LEAVING, answer.kind)
        self.assertIs(errors.Ran.NOT_RUN, answer.ran)
        self.assertGreater(answer.retry_after_ms, 0)
        return False

    def test_request_that_ends_in_time_is_sent(self):
        """Guards against refusals in a calm stop."""
        self.run_for(50, at_ms=1000)
        self.announce(2000)
        self.assertTrue(self.is_sent(2000 + NOTICE_MS - 1))

    def test_request_that_outlasts_the_stop_is_refused(self):
        """Guards against requests that are taken in the stop and then cut."""
        self.run_for(6000, at_ms=7000)
        self.run_for(50, at_ms=7100)
        self.announce(8000)
        self.assertTrue(self.is_sent(8000 + STOP_MS - 6001))
        self.assertFalse(self.is_sent(8000 + STOP_MS - 6000))

    def test_deadline_before_the_stop_suffices(self):
        """Guards against refusals of what gets its last answer in time."""
        self.announce(0)
        self.assertTrue(self.is_sent(1000, deadline_ms=STOP_MS - 1001))
        self.assertFalse(self.is_sent(1000, deadline_ms=STOP_MS - 1000))

    def test_given_up_request_counts_as_long(self):
        """Guards against a service whose requests all outlast their callers.

        None of them has an answer that would show how long it takes.
        """
        self.send_request(at_ms=0, deadline_ms=LONG_MS)
        self.feed(events.CallerGone(7000, 'r1'))
        self.run_for(50, at_ms=7100)
        self.announce(8000)
        self.assertFalse(self.is_sent(9000))

    def test_run_of_less_than_a_millisecond_counts(self):
        """Guards against a fast service that seems to have had no run."""
        self.run_for(0, at_ms=1000)
        self.announce(2000)
        self.assertTrue(self.is_sent(2001))

    def test_request_without_a_stop_is_sent(self):
        self.assertTrue(self.is_sent(1000))


class LongestDurationTest(unittest.TestCase):
    def test_old_durations_are_forgotten(self):
        """Guards against one slow run that is held against all later ones."""
        duration = longest.LongestDuration()
        self.assertIsNone(duration.at(0))
        duration.record(5000, 10)
        duration.record(50, 20)
        self.assertEqual(5000, duration.at(longest.WINDOW_MS))
        duration.record(70, longest.WINDOW_MS)
        self.assertEqual(5000, duration.at(2 * longest.WINDOW_MS - 1))
        self.assertEqual(70, duration.at(2 * longest.WINDOW_MS))
        self.assertIsNone(duration.at(5 * longest.WINDOW_MS))
