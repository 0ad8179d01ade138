"""A gateway's view of many endpoints."""

from berylhollow.gateway import _fleet
from berylhollow import messages
from test.hosted import crowd
from test.hosted import test_gateway_direct
from test import platform_builders as builders

MANY = 200


class ManyHoldersTest(test_gateway_direct.DirectTestCase):
    """A popular adapter is held by hundreds of endpoints.

    To compare all of them took a millisecond a request on a thousand
    endpoints, a third of a core of every gateway.
    """

    def setUp(self):
        super().setUp()
        self.name = builders.adapter_name()
        self.held = messages.AdapterVersion(self.name, '1')
        self.show(leaving=())

    def show(self, leaving):
        rows = [
            test_gateway_direct.row(
                f'i-{number}',
                f'10.0.{number}.1:80',
                adapters=(self.held,),
                leaving=number in leaving,
            )
            for number in range(MANY)
        ]
        self.list(*rows)

    def holders(self):
        active = crowd.waiting_request('r1', self.name)
        fleet = _fleet.Fleet(self.state, active, 0)
        return fleet.holders(messages.AdapterVersion(self.name, ''))

    def test_only_some_are_compared(self):
        found = self.holders()
        self.assertEqual(_fleet.HOLDERS, len(set(found)))

    def test_the_only_one_left_is_found(self):
        self.show(leaving=set(range(MANY)) - {77})
        self.assertEqual(['i-77'], self.holders())
