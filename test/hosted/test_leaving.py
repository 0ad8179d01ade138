"""Endpoints that report in their answers that they leave."""

import unittest

from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow.util import addresses
from test.hosted import limited_crowd
from test.hosted import test_gateway_direct
from test import platform_builders as builders

FIRST = '10.0.0.1:80'
SECOND = '10.0.0.2:80'
STAYS = test_gateway_direct.plain('i-2', SECOND)
LEAVES = test_gateway_direct.plain('i-1', FIRST)


class LeavingTest(test_gateway_direct.DirectTestCase):
    """``i-1`` reports by its answers alone that it leaves, ``i-2`` stays.

    Guards against requests that are sent to an endpoint after its own answer
    has reported that it leaves.
    """

    def configure(self):
        super().configure()
        self.list_instances(LEAVES, STAYS)

    def start(self, started_ms):
        """Return a start of an endpoint with a sidecar, under one name."""
        incarnation = messages.Incarnation('i-1', started_ms)
        return test_gateway_direct.direct_instance(
            str(incarnation), FIRST, incarnation=incarnation
        )

    def leave(self, name='i-1', sent_ms=100):
        notice = events.EndpointNotice(leaving=True)
        self.feed(events.NoticeReceived(sent_ms + 10, name, sent_ms, notice))

    def test_no_more_requests_are_sent_to_it(self):
        self.leave()
        self.assertEqual({'i-2'}, self.chosen_endpoints())

    def test_list_without_the_notice_does_not_undo_it(self):
        self.leave()
        self.list_instances(LEAVES, STAYS, at_ms=150)
        self.assertEqual({'i-2'}, self.chosen_endpoints())

    def test_entry_that_expires_and_returns_does_not_undo_it(self):
        self.leave()
        self.list_instances(STAYS, at_ms=150)
        self.list_instances(LEAVES, STAYS, at_ms=160)
        self.assertEqual({'i-2'}, self.chosen_endpoints())

    def test_answer_without_the_notice_does_not_undo_it(self):
        self.leave()
        empty_notice = events.EndpointNotice()
        self.feed(events.NoticeReceived(400, 'i-1', 300, empty_notice))
        self.assertEqual({'i-2'}, self.chosen_endpoints(500))

    def test_notice_in_an_older_answer_counts(self):
        """Answers can overtake each other; one notice is enough."""
        empty_notice = events.EndpointNotice()
        self.feed(events.NoticeReceived(400, 'i-1', 300, empty_notice))
        self.leave(sent_ms=100)
        self.assertEqual({'i-2'}, self.chosen_endpoints(500))

    def test_new_start_under_the_old_name_is_used(self):
        self.leave()
        again = test_gateway_direct.plain('i-1@9', FIRST)
        self.list_instances(again, STAYS, at_ms=150)
        self.leave('i-2', sent_ms=160)
        self.assertEqual({'i-1@9'}, self.chosen_endpoints())

    def test_notice_of_a_new_start_that_is_not_listed_yet(self):
        """An answer may be that of a start which has begun since.

        Guards against requests to a start whose own answer has reported that
        it leaves, but was taken for an answer of the start before.
        """
        self.list_instances(LEAVES)
        self.send_request(at_ms=100)
        self.fail_attempt(
            errors.Kind.ENGINE_RESTARTED, errors.Ran.UNKNOWN, at_ms=110
        )
        self.leave(sent_ms=1200)
        again = test_gateway_direct.plain('i-1@9', FIRST)
        self.list_instances(again, STAYS, at_ms=1300)
        self.assertEqual({'i-2'}, self.chosen_endpoints(4000))

    def test_notice_of_a_start_that_only_its_sidecar_shows(self):
        """Guards against requests to a start that has said it leaves.

        No run showed the end of the start before, but the sidecar did.
        """
        before, after = (self.start(started_ms) for started_ms in (1, 9))
        self.list_instances(before)
        self.open_link(addresses.sidecar_peer(FIRST), events.Role.ENDPOINT)
        self.report(FIRST, epoch=before.instance, at_ms=100)
        self.report(FIRST, epoch=after.instance, at_ms=1000)
        self.leave(before.instance, sent_ms=1200)
        self.list_instances(after, at_ms=4000)
        self.assertTrue(self.state.endpoints[after.instance].leaving)

    def test_limit_and_pause_of_a_start_that_only_its_sidecar_shows(self):
        """Guards against requests beyond what a new start has allowed."""
        before, after = (self.start(started_ms) for started_ms in (1, 9))
        self.list_instances(before)
        self.open_link(addresses.sidecar_peer(FIRST), events.Role.ENDPOINT)
        self.report(FIRST, epoch=after.instance, at_ms=1000)
        notice = events.EndpointNotice(rate_per_s=2.0, pause_ms=9000)
        self.feed(events.NoticeReceived(1210, before.instance, 1200, notice))
        self.list_instances(after, at_ms=4000)
        endpoint = self.state.endpoints[after.instance]
        self.assertEqual(2.0, endpoint.notice.rate_per_s)
        self.assertEqual(10_210, endpoint.paused_until_ms)

    def test_notice_asked_for_before_a_restart_is_of_the_old_start(self):
        """Guards against a start that is never used."""
        before, after = (self.start(started_ms) for started_ms in (1, 9))
        self.list_instances(before)
        self.open_link(addresses.sidecar_peer(FIRST), events.Role.ENDPOINT)
        self.report(FIRST, epoch=after.instance, at_ms=1000)
        self.leave(before.instance, sent_ms=995)
        self.list_instances(after, at_ms=1300)
        self.assertFalse(self.state.endpoints[after.instance].leaving)

    def test_notice_before_a_later_start_is_not_of_that(self):
        """Guards against a start that is never used.

        The start before lost a run with its connection, left by plan and was
        followed by a new one under its name.
        """
        self.list_instances(LEAVES)
        self.send_request(at_ms=100)
        self.fail_attempt(
            errors.Kind.ENGINE_RESTARTED, errors.Ran.UNKNOWN, at_ms=110
        )
        self.leave(sent_ms=1200)
        again = test_gateway_direct.plain('i-1@9', FIRST)
        self.list_instances(again, at_ms=3300)
        self.assertEqual({'i-1@9'}, self.chosen_endpoints(4000))

    def test_notice_without_a_lost_run_is_of_the_start_that_is_listed(self):
        """Guards against a start that is never used."""
        self.leave(sent_ms=1200)
        again = test_gateway_direct.plain('i-1@9', FIRST)
        self.list_instances(again, at_ms=1300)
        self.assertEqual({'i-1@9'}, self.chosen_endpoints(4000))

    def test_retry_is_not_sent_to_it(self):
        self.send_request(at_ms=200)
        refusing_endpoint, offer = self.offered()
        self.leave('i-1' if refusing_endpoint == 'i-2' else 'i-2', sent_ms=210)
        refused = messages.Failed(
            offer.attempt_id, errors.Kind.OVERLOADED, errors.Ran.NOT_RUN
        )
        self.receive(refused, 230, refusing_endpoint)
        self.feed(events.Ticked(600, 0.5))
        self.assertEqual([], self.offers())
        self.assertNotIn('r1', self.state.requests)

    def test_request_is_refused_at_once_if_all_endpoints_leave(self):
        self.leave('i-1')
        self.leave('i-2')
        self.send_request(at_ms=5000)
        self.assertIs(errors.Ran.NOT_RUN, self.answer().ran)


class WaitingTest(test_gateway_direct.DirectTestCase):
    def configure(self):
        super().configure()
        self.list_instances(
            test_gateway_direct.direct_instance('i-1', FIRST),
            test_gateway_direct.direct_instance('i-2', SECOND),
        )

    def test_request_that_waits_for_its_adapter_moves_on(self):
        """Guards against sending it there once the adapter is loaded."""
        self.send_request(test_gateway_direct.MODEL_PATH, adapter='a3')
        (active,) = self.state.requests.values()
        name = active.awaiting
        address = self.state.endpoints[name].instance.address
        notice = events.EndpointNotice(leaving=True)
        self.feed(events.NoticeReceived(20, name, 10, notice))
        adapter = messages.AdapterVersion(builders.adapter_name(), '1')
        self.report(address, adapter, at_ms=30)
        self.assertEqual([], self.offers())
        self.assertNotEqual(name, active.awaiting)


class CrowdTest(unittest.TestCase):
    def test_no_request_is_sent_to_an_endpoint_after_its_notice(self):
        """The store is unreachable all the time, as in the incident."""
        load = limited_crowd.LimitedLoad(
            seed=1,
            duration_ms=9000,
            endpoints=5,
            requests_per_s=20.0,
            limited=0,
            leaving=1,
        )
        crowd = limited_crowd.LimitedCrowd(load)
        crowd.run()
        self.assertEqual([], crowd.sent_to_leaving())
