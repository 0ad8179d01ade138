"""Tests of when a sidecar reports to its gateways."""

from berylhollow import events
from berylhollow import messages
from berylhollow import sidecar
from test import builders
from test import helper

REPORT_MS = 250
IDLE_MS = 10_000


class ReportTest(helper.ReducerTestCase):
    def setUp(self):
        self.begin(sidecar.reduce, builders.sidecar_state())
        self.feed(events.Appended(0, 'takeovers', 'incarnation-1', 6))
        self.feed(builders.engine_status())
        self.open_link('g1', events.Role.GATEWAY)
        self.feed(events.Ticked(1))

    def reports(self, from_ms, until_ms):
        """Return what is reported in a span of ticks."""
        for at_ms in range(from_ms, until_ms, REPORT_MS):
            self.feed(events.Ticked(at_ms))
            yield from self.sent(messages.Report)

    def test_idle_endpoint_repeats_itself_seldom(self):
        told = list(self.reports(REPORT_MS, 3 * IDLE_MS))
        self.assertEqual(2, len(told))

    def test_change_of_an_idle_endpoint_is_told_at_once(self):
        self.assertEqual([], list(self.reports(300, 1000)))
        self.feed(events.EndpointUnreachable(1000))
        told = list(self.reports(1000, 2000))
        self.assertEqual([False], [report.ready for report in told])

    def test_endpoint_with_requests_keeps_reporting(self):
        """A gateway takes an endpoint for busier than it is, and avoids it.

        One request ends and another begins between two reports, which are
        then equal. The gateway counts the first as still there, unless the
        second report tells it that all it knew of is in this one.
        """
        self.receive(builders.offer('r1.1'), at_ms=300, peer='g1')
        told = list(self.reports(500, 1500))
        self.assertEqual(4, len(told))

    def test_new_link_is_told_while_nothing_changes(self):
        """A gateway sends nothing to an endpoint that it knows nothing of.

        It starts, or its link broke, while the endpoint is idle; the next
        report would come only with the next change.
        """
        list(self.reports(300, 1000))
        self.open_link('g2', events.Role.GATEWAY, 1000)
        (report,) = self.sent(messages.Report)
        self.assertTrue(report.ready)
