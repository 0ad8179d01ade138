"""Tests of the time within which a superseded version may begin to run."""

from berylhollow import errors
from berylhollow import events
from berylhollow.gateway import _backlog
from berylhollow.gateway import _superseded
from berylhollow import messages
from berylhollow.util import addresses
from test.hosted import test_gateway_direct as direct
from test import platform_builders as builders

ADDRESS = '10.0.0.1:80'
NAMED_MS = 1000
LIMIT_MS = 5000
RESUMABLE_PATH = '/resumable/x'
OVERDUE_MS = NAMED_MS + int(LIMIT_MS * _superseded.REPLACE_SHARE)
TICK_MS = 50
ROUND_TRIP_MS = 100
SHORT_PROMPT_TOKENS = 2000
LONG_PROMPT_TOKENS = 100_000


class SupersededTestCase(direct.DirectTestCase):
    """One endpoint holds version 1; version 2 is named at ``NAMED_MS``."""

    def configure(self):
        resumable = builders.route(
            'again', '/resumable/', Resumable=True, MaxAttempts=2
        )
        record = builders.configuration_record(
            routes=[builders.route(), builders.plain_route(), resumable]
        )
        self.publish(record)
        self.list_instances(direct.direct_instance('i-1', ADDRESS))
        self.peer = addresses.sidecar_peer(ADDRESS)
        self.open_link(self.peer, events.Role.ENDPOINT)
        self.report(ADDRESS, self.version(1))

    def version(self, number):
        return messages.AdapterVersion(builders.adapter_name(), str(number))

    def name_version(self, number=2, at_ms=NAMED_MS):
        super().name_version(number, at_ms)

    def send(self, at_ms, path=direct.MODEL_PATH, **changes):
        self.send_request(path, at_ms, adapter='a3', **changes)

    def tick_to(self, end_ms):
        """Tick up to ``end_ms`` and keep the effects of all ticks."""
        kept = []
        for at_ms in range(self.state.ticked_ms + TICK_MS, end_ms, TICK_MS):
            kept += self.feed(events.Ticked(at_ms, 0.5))
        self.effects = kept


class BeginTest(SupersededTestCase):
    def test_request_that_has_not_begun_is_ended_before_the_limit(self):
        """Guards against a run on an old version after a long queue.

        The endpoint checks the version when the request arrives, and begins
        to run it whenever its queue allows.
        """
        self.name_version()
        self.send(NAMED_MS + 500)
        peer, offer = self.offered()
        self.assertEqual('1', offer.adapter.version)
        self.tick_to(NAMED_MS + LIMIT_MS - ROUND_TRIP_MS)
        self.assertEqual(
            [offer.attempt_id],
            [x.attempt_id for x in self.sent(messages.Cancel)],
        )
        self.assertIs(errors.Ran.UNKNOWN, self.answer().ran)

    def test_request_sent_before_the_naming_is_ended_in_time(self):
        """Guards against a wait that is longer than the whole limit."""
        self.send(NAMED_MS - 100)
        self.name_version()
        self.tick_to(NAMED_MS + LIMIT_MS - ROUND_TRIP_MS)
        self.assertEqual(1, len(self.sent(messages.Cancel)))

    def test_version_named_again_does_not_extend_the_limit(self):
        """Guards against an age that counts from the newest version."""
        self.send(NAMED_MS - 100)
        self.name_version()
        self.name_version(3, NAMED_MS + LIMIT_MS // 2)
        self.tick_to(NAMED_MS + LIMIT_MS - ROUND_TRIP_MS)
        self.assertEqual(1, len(self.sent(messages.Cancel)))

    def test_repeatable_request_runs_with_the_newest_version_instead(self):
        self.report(ADDRESS, self.version(1))
        self.name_version()
        self.send(NAMED_MS + 500, RESUMABLE_PATH)
        self.list_instances(
            direct.direct_instance('i-1', ADDRESS),
            direct.direct_instance('i-2', '10.0.0.2:80'),
        )
        self.report('10.0.0.2:80', self.version(2), at_ms=NAMED_MS + 600)
        self.tick_to(NAMED_MS + LIMIT_MS)
        peer, offer = self.offered()
        self.assertEqual(('i-2', '2'), (peer, offer.adapter.version))

    def test_answer_that_has_begun_is_not_ended(self):
        self.name_version()
        self.send(NAMED_MS + 500)
        peer, offer = self.offered()
        started = messages.Started(offer.attempt_id, 200, (), offer.adapter)
        self.receive(started, NAMED_MS + 600, peer)
        self.tick_to(NAMED_MS + LIMIT_MS)
        self.assertEqual([], self.sent(messages.Cancel))

    def test_request_with_the_newest_version_is_not_ended(self):
        self.name_version()
        self.report(ADDRESS, self.version(2), at_ms=NAMED_MS + 100)
        self.send(NAMED_MS + 500)
        self.tick_to(NAMED_MS + LIMIT_MS)
        self.assertEqual([], self.sent(messages.Cancel))


class ShortLimitTest(SupersededTestCase):
    """The platform may name another limit."""

    def options(self):
        return {'version_limit_ms': LIMIT_MS // 2}

    def test_request_is_ended_by_the_limit_of_the_platform(self):
        self.name_version()
        self.send(NAMED_MS + 500)
        self.tick_to(NAMED_MS + LIMIT_MS // 2 - ROUND_TRIP_MS)
        self.assertEqual(1, len(self.sent(messages.Cancel)))

    def test_request_may_begin_for_most_of_the_limit(self):
        self.name_version()
        self.send(NAMED_MS + 500)
        self.tick_to(NAMED_MS + LIMIT_MS * 2 // 5)
        self.assertEqual([], self.sent(messages.Cancel))


class ReturnTest(SupersededTestCase):
    """The endpoint returns queued requests when it replaces the version."""

    def return_after(self, ms):
        """Send a request and have it returned; version 2 is held then."""
        self.name_version()
        self.send(NAMED_MS + 500)
        peer, offer = self.offered()
        self.tick_to(NAMED_MS + ms)
        kind = errors.Kind.OVERLOADED
        failed = messages.Failed(offer.attempt_id, kind, errors.Ran.NOT_RUN)
        self.receive(failed, NAMED_MS + ms, peer)
        self.report(ADDRESS, self.version(2), at_ms=NAMED_MS + ms + TICK_MS)
        self.tick_to(NAMED_MS + ms + 10 * TICK_MS)

    def test_returned_request_is_not_sent_there_again(self):
        """Guards against a second wait in the queue that kept it too long."""
        self.return_after(LIMIT_MS * 3 // 4)
        self.assertEqual([], self.offers())

    def test_request_refused_before_is_not_sent_there_again(self):
        self.return_after(LIMIT_MS // 4)
        self.assertEqual([], self.offers())


class DemandTest(SupersededTestCase):
    def last_entry(self):
        (entry,) = self.sent(messages.AdapterDemands)[-1].entries
        return entry

    def test_sidecar_is_asked_to_replace_a_version_with_queued_requests(self):
        """Guards against an endpoint that is never idle and keeps it."""
        self.name_version()
        self.send(NAMED_MS + 500)
        self.tick_to(NAMED_MS + LIMIT_MS // 2)
        self.assertEqual(0, self.last_entry().overdue)
        self.tick_to(NAMED_MS + LIMIT_MS * 4 // 5)
        self.assertEqual(1, self.last_entry().overdue)

    def test_sidecar_is_told_of_overdue_requests_at_once(self):
        """Guards against an order that waits for the next regular report."""
        self.name_version()
        self.send(NAMED_MS + 500)
        self.tick_to(OVERDUE_MS + 3 * TICK_MS)
        self.assertEqual(1, self.last_entry().overdue)

    def test_sidecar_is_told_of_an_overdue_request_once(self):
        """Guards against a report with every tick from then on."""
        self.name_version()
        self.send(NAMED_MS + 500)
        self.tick_to(OVERDUE_MS + 3 * TICK_MS)
        self.tick_to(OVERDUE_MS + 6 * TICK_MS)
        self.assertEqual([], self.sent(messages.AdapterDemands))

    def test_next_attempt_is_reported_as_overdue_too(self):
        self.name_version()
        for number in (2, 3):
            self.send(NAMED_MS + 500 * number)
        self.tick_to(OVERDUE_MS + 3 * TICK_MS)
        self.assertEqual(2, self.last_entry().overdue)

    def test_request_that_has_begun_is_not_overdue(self):
        self.name_version()
        self.send(NAMED_MS + 500)
        peer, offer = self.offered()
        started = messages.Started(offer.attempt_id, 200, (), offer.adapter)
        self.receive(started, NAMED_MS + 600, peer)
        self.tick_to(NAMED_MS + LIMIT_MS)
        self.assertEqual(0, self.last_entry().overdue)


class OfferTest(SupersededTestCase):
    def test_superseded_version_is_not_offered_behind_a_long_queue(self):
        """Guards against a request that would begin after the limit."""
        self.send_request(
            direct.MODEL_PATH, NAMED_MS, prompt_tokens=LONG_PROMPT_TOKENS
        )
        self.name_version()
        self.send(NAMED_MS + 100)
        self.assertEqual([], self.offers())

    def test_expected_wait_counts_twice(self):
        """Guards against a forecast that is taken at its word."""
        room_ms = LIMIT_MS * _superseded.REPLACE_SHARE - 100
        for share, expected in ((0.4, 1), (0.6, 0)):
            with self.subTest(share):
                self.setUp()
                tokens = int(share * room_ms / _backlog.INITIAL_TOKEN_MS)
                self.send_request(
                    direct.MODEL_PATH, NAMED_MS, prompt_tokens=tokens
                )
                self.name_version()
                self.send(NAMED_MS + 100)
                self.assertEqual(expected, len(self.offers()))

    def test_request_waits_elsewhere_if_the_holder_has_an_old_version(self):
        """Guards against a wait for runs of the version before."""
        self.list_instances(
            direct.direct_instance('i-1', ADDRESS),
            direct.direct_instance('i-2', '10.0.0.2:80'),
        )
        self.report('10.0.0.2:80')
        self.send_request(
            direct.MODEL_PATH,
            NAMED_MS,
            adapter='a3',
            prompt_tokens=SHORT_PROMPT_TOKENS,
        )
        self.name_version()
        self.send(NAMED_MS + LIMIT_MS * 3 // 4)
        (line,) = self.logged('request waits for its adapter')
        self.assertEqual('i-2', line['endpoint'])

    def test_superseded_version_is_offered_for_a_share_of_the_limit(self):
        self.name_version()
        self.send(OVERDUE_MS - 1)
        self.assertEqual('1', self.offered()[1].adapter.version)
        self.send(OVERDUE_MS)
        self.assertEqual([], self.offers())

    def test_superseded_version_is_offered_at_first(self):
        self.name_version()
        self.send(NAMED_MS + LIMIT_MS // 2 - 1)
        self.assertEqual('1', self.offered()[1].adapter.version)

    def test_superseded_version_is_not_offered_near_the_limit(self):
        self.name_version()
        self.send(NAMED_MS + LIMIT_MS * 3 // 4)
        self.assertEqual([], self.offers())
