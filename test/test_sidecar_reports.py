"""Tests of the reports that a sidecar sends to its gateways."""

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
        """Yield the reports sent by ticks from one time until another."""
        for at_ms in range(from_ms, until_ms, REPORT_MS):
            self.feed(events.Ticked(at_ms))
            yield from self.sent(messages.Report)

    def test_idle_endpoint_repeats_its_report_rarely(self):
        sent_reports = list(self.reports(REPORT_MS, 3 * IDLE_MS))
        self.assertEqual(2, len(sent_reports))

    def test_change_of_an_idle_endpoint_is_reported_at_once(self):
        self.assertEqual([], list(self.reports(300, 1000)))
        self.feed(events.EndpointUnreachable(1000))
        sent_reports = list(self.reports(1000, 2000))
        self.assertEqual([False], [report.ready for report in sent_reports])

    def test_endpoint_with_requests_keeps_reporting(self):
        """A gateway avoids an endpoint that it takes for busier than it is.

        If one request ends and another begins between two reports, these are
        equal. Without the second report the gateway would still count the
        first request.
        """
        self.receive(builders.offer('r1.1'), at_ms=300, peer='g1')
        sent_reports = list(self.reports(500, 1500))
        self.assertEqual(4, len(sent_reports))

    def test_new_link_gets_a_report_while_nothing_changes(self):
        """A gateway sends no requests to an endpoint without a report.

        If the gateway starts or its link breaks while the endpoint is idle,
        the next report would come only with the next change.
        """
        list(self.reports(300, 1000))
        self.open_link('g2', events.Role.GATEWAY, 1000)
        (report,) = self.sent(messages.Report)
        self.assertTrue(report.ready)
