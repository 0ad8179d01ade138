"""Endpoints whose next start answers under their name and address at once.

A supervisor starts it within milliseconds of the crash; the instance list
shows it later.
"""

import itertools
import unittest

from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from test.hosted import crash_fleet
from test.hosted import in_place_fleet
from test.hosted import test_gateway_direct
from test.hosted import test_probes

FINGERPRINT = test_probes.FINGERPRINT
SIDECARS = test_probes.SIDECARS


def start(number, started_ms=1):
    """Return the entry of a start of an endpoint."""
    incarnation = messages.Incarnation(f'i-{number}', started_ms)
    return test_gateway_direct.plain(
        str(incarnation), f'10.0.0.{number}:80', incarnation=incarnation
    )


class GatewayTestCase(test_gateway_direct.DirectTestCase):
    """A gateway that has not read of the next start yet."""

    def options(self):
        return {'retry_reserve': 0.0}

    def setUp(self):
        super().setUp()
        self.beside = [
            test_gateway_direct.direct_instance(f'm-{n}', f'10.0.1.{n}:80')
            for n in (1, 2, 3)
        ]
        self.list_instances(start(1), start(2), *self.beside)

    def send(self, fingerprint, at_ms):
        return self.send_request(fingerprint=fingerprint, at_ms=at_ms)

    def lose_run(self, fingerprint, at_ms):
        self.send(fingerprint, at_ms)
        peer, _ = self.offered()
        kind = errors.Kind.ENGINE_RESTARTED
        self.fail_attempt(kind, errors.Ran.UNKNOWN, at_ms + 5)
        return peer

    def answer_at(self, wanted, fingerprint, at_ms):
        """Begin an answer at an endpoint; return its offer."""
        while True:
            self.send(fingerprint, at_ms)
            peer, offer = self.offered()
            if peer == wanted:
                break
        started = messages.Started(offer.attempt_id, 200, (), None)
        self.receive(started, at_ms + 5, peer)
        return offer

    def end_answer(self, offer, at_ms):
        relayed = events.AnswerRelayed(
            at_ms, offer.request_id, offer.attempt_id, 200
        )
        self.feed(relayed)

    def list_next_start(self, ended, at_ms):
        rows = [
            start(n, 2 if ended == start(n).instance else 1) for n in (1, 2)
        ]
        self.list_instances(*rows, *self.beside, at_ms=at_ms)

    def link_sidecars(self):
        for peer in SIDECARS:
            self.open_link(peer, events.Role.ENDPOINT)


class GatewayTest(GatewayTestCase):
    """What the next start answers, and what it breaks off."""

    def test_probe_is_not_sent_to_the_next_start(self):
        """Guards against a culprit that ends one start after the other."""
        self.lose_run(FINGERPRINT, 0)
        self.lose_run(FINGERPRINT, 10)
        self.send(FINGERPRINT, 30)
        self.assertEqual([], self.offers())
        self.assertIs(errors.Kind.SUSPECT, self.answer().kind)
        self.assertIs(errors.Ran.NOT_RUN, self.answer().ran)

    def test_next_start_settles_no_loss_of_its_own_gateway(self):
        """Guards against a culprit that all gateways take for settled."""
        self.link_sidecars()
        lost = self.lose_run(FINGERPRINT, 0)
        self.answer_at(lost, 'other', 20)
        self.assertEqual([], self.sent(messages.EndpointAnswered))
        self.feed(events.Ticked(300, 0.5))
        self.assertEqual([], self.sent(messages.EndpointAnswered))
        unsettled = self.state.unsettled.endpoints(FINGERPRINT, 300)
        self.assertEqual((lost,), unsettled)

    def test_crash_is_reported_after_the_next_start_has_answered(self):
        """Guards against a crash that does not count against its culprit.

        The next start answers a request and breaks off another before it is
        listed.
        """
        lost = self.lose_run(FINGERPRINT, 0)
        self.end_answer(self.answer_at(lost, 'other', 20), 30)
        offer = self.answer_at(lost, 'cut', 40)
        failed = messages.Failed(
            offer.attempt_id, errors.Kind.STREAM_BROKEN, errors.Ran.UNKNOWN
        )
        self.receive(failed, 50, lost)
        self.link_sidecars()
        self.list_next_start(lost, 300)
        crashes = self.sent(messages.Crashed)
        self.assertTrue(crashes)
        for crashed in crashes:
            self.assertIn(FINGERPRINT, crashed.fingerprints)

    def test_crash_is_reported_while_the_next_start_runs_requests(self):
        """Guards against a crash that is counted when a stream has ended.

        The stream began at the next start, before that was listed.
        """
        lost = self.lose_run(FINGERPRINT, 0)
        self.answer_at(lost, 'stream', 20)
        self.link_sidecars()
        self.list_next_start(lost, 300)
        crashes = self.sent(messages.Crashed)
        self.assertEqual(len(SIDECARS), len(crashes))
        for crashed in crashes:
            self.assertEqual((FINGERPRINT,), crashed.fingerprints)

    def test_answer_that_had_ended_does_not_show_a_later_life(self):
        """Guards against a slow caller who hides that an endpoint crashed.

        The endpoint has sent the whole answer; its caller still reads it.
        """
        self.link_sidecars()
        offer = self.answer_at('i-1@1', 'slow', 0)
        self.receive(messages.End(offer.attempt_id, 1), 10, 'i-1@1')
        lost = messages.RunLost(FINGERPRINT, 'i-1@1', False)
        self.receive(lost, 20, SIDECARS[0])
        self.feed(events.Ticked(250, 0.5))
        self.assertEqual([], self.sent(messages.EndpointAnswered))
        unsettled = self.state.unsettled.endpoints(FINGERPRINT, 250)
        self.assertEqual(('i-1@1',), unsettled)

    def test_run_sent_to_the_next_start_settles_no_loss_told_later(self):
        """Guards against a loss that is told after the next start has begun.

        The endpoint crashed under the lost run, and this run met the next
        start, before this gateway heard of it.
        """
        self.link_sidecars()
        self.answer_at('i-1@1', 'other', 15)
        lost = messages.RunLost(FINGERPRINT, 'i-1@1', False, ran_ms=300)
        self.receive(lost, 20, SIDECARS[0])
        self.feed(events.Ticked(250, 0.5))
        self.assertEqual([], self.sent(messages.EndpointAnswered))

    def test_run_sent_before_the_lost_one_settles_it(self):
        """Guards against refusals where answers are only broken off."""
        self.link_sidecars()
        self.answer_at('i-1@1', 'other', 0)
        lost = messages.RunLost(FINGERPRINT, 'i-1@1', False, ran_ms=100)
        self.receive(lost, 500, SIDECARS[0])
        self.feed(events.Ticked(700, 0.5))
        self.assertEqual(
            [messages.EndpointAnswered(FINGERPRINT, 'i-1@1')],
            self.sent(messages.EndpointAnswered),
        )

    def test_second_loss_does_not_settle_the_first(self):
        """Guards against a crash that a loss at the next start hides.

        The next start breaks off an answer and goes on with another one.
        """
        self.list_instances(start(1), *self.beside)
        self.lose_run(FINGERPRINT, 0)
        self.answer_at('i-1@1', 'other', 20)
        self.lose_run(FINGERPRINT, 30)
        self.feed(events.Ticked(300, 0.5))
        unsettled = self.state.unsettled.endpoints(FINGERPRINT, 300)
        self.assertEqual(('i-1@1',), unsettled)
        run = self.state.endpoints['i-1@1'].lost[FINGERPRINT]
        self.assertFalse(run.endpoint_answered)

    def test_start_that_leaves_and_is_listed_late_gets_no_request(self):
        """Guards against a notice of leaving that a late list loses.

        The next start says in an answer that it leaves. The gateway takes it
        for the start before, as it reads no list for 6 s.
        """
        offer = self.answer_at('i-1@1', 'other', 1000)
        notice = events.EndpointNotice(leaving=True)
        self.feed(events.NoticeReceived(1010, 'i-1@1', 1000, notice))
        self.receive(messages.End(offer.attempt_id, 1), 1020, 'i-1@1')
        self.end_answer(offer, 1030)
        self.list_next_start('i-1@1', 7000)
        for number in range(4):
            self.send(f'later {number}', 7010 + number)
            peer, _ = self.offered()
            self.assertEqual('i-2@1', peer)

    def test_run_cut_off_later_is_not_held_against_the_ended_start(self):
        """Guards against two crashes that count as one.

        The run began at the next start, before that was listed.
        """
        ended = self.lose_run('other', 0)
        offer = self.answer_at(ended, FINGERPRINT, 20)
        self.link_sidecars()
        self.list_next_start(ended, 300)
        failed = messages.Failed(
            offer.attempt_id, errors.Kind.STREAM_BROKEN, errors.Ran.UNKNOWN
        )
        self.receive(failed, 400, ended)
        next_start = start(int(ended[2]), 2).instance
        (lost,) = self.sent(messages.RunLost)
        self.assertEqual(next_start, lost.endpoint)
        unsettled = self.state.unsettled.endpoints(FINGERPRINT, 400)
        self.assertEqual((next_start,), unsettled)


class BoundTest(unittest.TestCase):
    """How many endpoints a culprit may end that start again in place."""

    PLAY_MS = 30_000
    INTERVALS_MS = (20, 150, None)
    LAGS_MS = (0, 300, 1200)
    BURST = 8
    BURST_MS = 900
    INNOCENT_MS = 40

    def check(self, innocents, **changes):
        plays = itertools.product((1, 4), self.INTERVALS_MS, self.LAGS_MS)
        for gateways, interval_ms, lag_ms in plays:
            with self.subTest(
                gateways=gateways, interval_ms=interval_ms, lag_ms=lag_ms
            ):
                setup = in_place_fleet.Setup(
                    gateways=gateways, list_ms=100, lag_ms=lag_ms, **changes
                )
                fleet = in_place_fleet.InPlaceFleet(setup)
                self.send_culprit(fleet, interval_ms)
                if innocents:
                    fleet.send_each(
                        self.INNOCENT_MS, self.PLAY_MS, crash_fleet.INNOCENT
                    )
                fleet.run_until(self.PLAY_MS)
                late = fleet.late_runs_ms()
                self.assertLessEqual(len(late), crash_fleet.MAX_LATE_RUNS)

    def send_culprit(self, fleet, interval_ms):
        """Send it at equal intervals, or in bursts if there is none."""
        culprit = crash_fleet.CULPRIT
        if interval_ms is not None:
            fleet.send_each(interval_ms, self.PLAY_MS, culprit, culprit)
            return
        fleet.send_bursts(
            self.BURST, self.BURST_MS, self.PLAY_MS, culprit, culprit
        )

    def test_culprit_alone_ends_few_starts(self):
        """Guards against a next start that gets the culprit at once."""
        self.check(False)

    def test_culprit_alone_ends_few_starts_with_a_model(self):
        """Guards against answers that begin at the next start."""
        self.check(False, model=True)

    def test_culprit_among_other_requests_ends_few_starts(self):
        """Guards against answers of a next start that settle a loss."""
        self.check(True)

    def test_culprit_among_others_ends_few_starts_with_a_model(self):
        """Guards against answers of a next start that begin at once."""
        self.check(True, model=True)


class InnocentsTest(unittest.TestCase):
    """Requests of one fingerprint, and endpoints that start again in place.

    From a second after the list shows the last start, each ends well.
    """

    LOST_MS = 5000
    SETTLED_MS = 1000
    AFTER_MS = 5000

    def check(self, **changes):
        plays = itertools.product((1, 4), (2, 4), (0, 30, 400), (0, 300, 1200))
        for gateways, count, gap_ms, lag_ms in plays:
            with self.subTest(
                gateways=gateways, count=count, gap_ms=gap_ms, lag_ms=lag_ms
            ):
                setup = in_place_fleet.Setup(
                    gateways=gateways, lag_ms=lag_ms, **changes
                )
                fleet = in_place_fleet.InPlaceFleet(setup)
                innocent = crash_fleet.INNOCENT
                last_ms = self.LOST_MS + gap_ms * (count - 1)
                back_ms = last_ms + setup.down_ms + lag_ms
                until_ms = back_ms + self.AFTER_MS
                fleet.send_each(25, until_ms, innocent, innocent)
                fleet.at(self.LOST_MS, fleet.lose_endpoints, count, gap_ms)
                fleet.run_until(until_ms + self.SETTLED_MS)
                failed = [
                    x
                    for x in fleet.outcomes
                    if x.arrived_ms >= back_ms + self.SETTLED_MS
                    and x.kind is not None
                ]
                self.assertEqual([], failed)

    def test_restarts_cost_no_request_later_on(self):
        """Guards against refusals while a next start runs requests."""
        self.check()

    def test_restarts_cost_no_request_later_on_with_a_model(self):
        """Guards against the same where answers begin before the loss."""
        self.check(model=True)
