"""A gateway's view of many endpoints."""

import collections
import dataclasses

from berylhollow.gateway import _fleet
from berylhollow.gateway import _routing
from berylhollow import messages
from test.hosted import crowd
from test.hosted import test_gateway_direct
from test import platform_builders as builders

MANY = 200
PLAIN = 5
ASKED = 100


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
            test_gateway_direct.direct_instance(
                f'i-{number}',
                f'10.0.{number}.1:80',
                adapters=(self.held,),
                leaving=number in leaving,
            )
            for number in range(MANY)
        ]
        self.list_instances(*rows)

    def holders(self):
        active = crowd.waiting_request('r1', self.name)
        fleet = _fleet.Fleet(self.state, active, 0)
        return fleet.holders(messages.AdapterVersion(self.name, ''))

    def test_only_some_are_compared(self):
        found = self.holders()
        self.assertEqual(_fleet.MAX_HOLDERS_COMPARED, len(set(found)))

    def test_the_only_one_left_is_found(self):
        self.show(leaving=set(range(MANY)) - {77})
        self.assertEqual(['i-77'], self.holders())


class EqualEndpointsTest(test_gateway_direct.DirectTestCase):
    """Sixty-eight gateways before five endpoints of a plain service.

    None has a request anywhere, so all endpoints look alike to each. Taken in
    a fixed order the first got the requests of all gateways: 3.6 times its
    share, while the others idled.
    """

    def test_equals_share_the_work(self):
        self.list_instances(
            *(
                test_gateway_direct.plain(f'i-{n}', f'10.0.0.{n + 1}:80')
                for n in range(PLAIN)
            )
        )
        chosen = collections.Counter(
            self.chosen_endpoints(number / ASKED) for number in range(ASKED)
        )
        self.assertEqual([ASKED // PLAIN] * PLAIN, list(chosen.values()))

    def chosen_endpoints(self, seed):
        """Return where a gateway sends its first request."""
        active = crowd.waiting_request('r1', '', seed)
        active.service = builders.PLAIN_SERVICE
        active.request = dataclasses.replace(active.request, adapter=None)
        return _routing.choose_endpoint(self.state, active, 0)
