"""A sidecar that admits prompts to its endpoint."""

from unittest import mock

from berylhollow import effects
from berylhollow import events
from berylhollow.loader import service
from berylhollow import messages
from berylhollow import metrics
from test.loader import loader_helper


class AdmissionsTest(loader_helper.LoaderTestCase):
    def want(self, name, peer='g1', at_ms=0, tokens=6000):
        wanted = messages.AdmissionWanted(name, tokens, 0, '', 2000, 400, 4)
        return self.receive(wanted, at_ms, peer)

    def end(self, name, at_ms, peer='g1'):
        return self.receive(messages.AdmissionEnded(name, True), at_ms, peer)

    def granted(self):
        sent = self.sent(messages.AdmissionGranted)
        return [grant.request_id for grant in sent]

    def test_request_is_granted_or_told_its_wait(self):
        """A gateway that hears nothing sends without admission."""
        self.want('a')
        self.assertEqual(['a'], self.granted())
        self.assertEqual([], self.sent(messages.AdmissionQueued))
        self.assertEqual([], self.logged('admission granted'))
        self.want('b', at_ms=32)
        queued = messages.AdmissionQueued('b', 300)
        self.assertEqual([queued], self.sent(messages.AdmissionQueued))
        self.end('a', 340)
        self.feed(events.Ticked(364))
        self.assertEqual(['b'], self.granted())
        (line,) = self.logged('admission granted')
        self.assertEqual(332, line['waited_ms'])
        (count,) = self.of_type(effects.Count)
        self.assertIn(('berylhollow.outcome', 'waited'), count.attributes)

    def test_full_queue_gives_no_place(self):
        """A request without a place was not placed elsewhere."""
        for number in range(2050):
            self.want(str(number))
        queued = messages.AdmissionQueued('2049', -1)
        self.assertEqual([queued], self.sent(messages.AdmissionQueued))

    def test_killed_gateway_leaves_no_waiting_request(self):
        """Grants for a gateway that is gone kept the others waiting."""
        self.want('a', 'g2')
        self.want('b', 'g2')
        self.want('c', 'g1')
        self.feed(events.LinkClosed(10, 'g2'))
        self.assertEqual([], self.granted())
        self.feed(events.Ticked(3000))
        self.assertEqual(['c'], self.granted())

    def test_restarted_endpoint_reads_nothing_of_before(self):
        """What an endpoint lost with its restart blocked it for seconds."""
        self.report(started_ms=1)
        self.want('a')
        self.want('b')
        self.report(started_ms=2, at_ms=50)
        self.assertEqual(['b'], self.granted())
        self.end('a', 60)
        self.assertEqual([], self.granted())

    def test_restart_is_reported_before_what_it_allows_is_granted(self):
        """Requests were sent to an endpoint that had lost their adapter."""
        held = (loader_helper.adapter_version('a'),)
        self.report(held, started_ms=1)
        self.want('a')
        self.want('b')
        self.report(started_ms=2, at_ms=500)
        sent = [type(x.message) for x in self.of_type(effects.Send)]
        self.assertEqual([messages.Report, messages.AdmissionGranted], sent)

    def test_sidecar_that_was_frozen_grants_what_still_waits(self):
        """A sidecar that stood still for seconds granted nothing more."""
        self.want('a')
        self.want('b')
        self.feed(events.Ticked(20_000))
        self.assertEqual(['b'], self.granted())

    def test_pace_is_reported_once_it_is_measured(self):
        """Reports of services without admission changed."""
        self.report()
        self.feed(events.Ticked(1000))
        self.assertEqual(0.0, self.sent(messages.Report)[0].token_ms)
        self.want('a', at_ms=1000)
        self.feed(events.Ticked(2000))
        (report,) = self.sent(messages.Report)
        self.assertEqual(0.0, report.token_ms)
        self.assertEqual(0.5, report.read_share)
        self.end('a', 2000)
        self.feed(events.Ticked(3000))
        (report,) = self.sent(messages.Report)
        self.assertLess(0.05, report.token_ms)

    def test_log_lines_are_limited(self):
        """A heavy load wrote a line for each request."""
        self.want('a', tokens=7000)
        for number in range(80):
            self.want(str(number), tokens=10)
        self.end('a', 300)
        self.feed(events.Ticked(324))
        self.assertEqual(80, len(self.granted()))
        self.assertEqual(50, len(self.logged('admission granted')))

    def test_metric_of_the_waiting_requests(self):
        """A queue that does not empty could not be seen from outside."""
        meters = metrics.Meters('sidecar', 'side-1', 'd1')
        loader = mock.Mock()
        loader.driver.state = self.state
        service.LoaderService(loader, meters, ('127.0.0.1', 0), mock.Mock())
        name = 'berylhollow_admissions_waiting'
        line = f'{name}{{berylhollow_service="s"}}'
        self.assertIn(f'{line} 0.0\n', meters.render().decode())
        for number in range(3):
            self.want(str(number))
        self.assertIn(f'{line} 2.0\n', meters.render().decode())
