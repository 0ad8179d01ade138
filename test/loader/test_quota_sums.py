"""A sidecar that sums up what gateways use of quotas."""

from berylhollow import events
from berylhollow import messages
from berylhollow import workspaces
from test.loader import loader_helper


class QuotaSumsTest(loader_helper.LoaderTestCase):
    def report_use(self, gateway, spent, at_ms=0):
        uses = (workspaces.GatewayUsage('w', spent, 0),)
        self.receive(messages.QuotaUses(uses), at_ms, gateway)
        (sums,) = self.sent(messages.QuotaSums)
        return sums

    def test_gateway_that_reports_use_receives_the_sums_of_all(self):
        self.feed(events.Started(0, 'start-1'))
        for name in ('g1', 'g2'):
            self.open_link(name, events.Role.GATEWAY)
            self.report_use(name, 0)
        self.report_use('g1', 500)
        sums = self.report_use('g2', 30)
        self.assertEqual('start-1', sums.book)
        self.assertEqual([530], [one.spent for one in sums.sums])
