"""A sidecar that keeps the book of what gateways use of quotas."""

from berylhollow import events
from berylhollow import messages
from berylhollow import workspaces
from test.loader import loader_helper


class BookTest(loader_helper.LoaderTestCase):
    def tell(self, gateway, spent, at_ms=0):
        uses = (workspaces.Use('w', spent, 0),)
        self.receive(messages.QuotaUses(uses), at_ms, gateway)
        (sums,) = self.sent(messages.QuotaSums)
        return sums

    def test_whoever_tells_hears_the_sums_of_all(self):
        self.feed(events.Started(0, 'start-1'))
        for name in ('g1', 'g2'):
            self.open_link(name, events.Role.GATEWAY)
            self.tell(name, 0)
        self.tell('g1', 500)
        sums = self.tell('g2', 30)
        self.assertEqual('start-1', sums.book)
        self.assertEqual([530], [found.spent for found in sums.sums])
