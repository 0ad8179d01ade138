"""An entry that names another service under the same start."""

from berylhollow import events
from berylhollow import messages
from berylhollow.util import addresses
from test.hosted import test_gateway_direct as direct
from test import platform_builders as builders

ADDRESS = '10.0.0.1:80'


class ChangedServiceTest(direct.DirectTestCase):
    def list_as(self, service, at_ms):
        self.list_instances(
            direct.direct_instance('i-1', ADDRESS, service),
            direct.direct_instance('i-2', '10.0.0.2:80'),
            direct.plain('i-3', '10.0.0.3:80'),
            at_ms=at_ms,
        )

    def test_index_forgets_an_endpoint_that_has_changed_its_service(self):
        """Guards against a gateway that ends when such an endpoint goes.

        Another writer's entry names another service for an endpoint that
        needs its model, and then the entry is removed.
        """
        self.list_as(builders.MODEL_SERVICE, at_ms=0)
        for address in (ADDRESS, '10.0.0.2:80'):
            self.open_link(
                addresses.sidecar_peer(address), events.Role.ENDPOINT
            )
            self.report(
                address, ready=False, model_load=messages.ModelLoad.NEEDED
            )
        self.list_as(builders.PLAIN_SERVICE, at_ms=500)
        self.list_instances(
            direct.direct_instance('i-2', '10.0.0.2:80'),
            direct.plain('i-3', '10.0.0.3:80'),
            at_ms=1000,
        )
        for at_ms in range(1050, 4000, 50):
            self.feed(events.Ticked(at_ms, 0.5))
        self.send_request(direct.MODEL_PATH, at_ms=4000)

    def test_endpoint_is_used_for_the_service_that_it_names_now(self):
        """Guards against requests at an endpoint of another service."""
        self.list_as(builders.MODEL_SERVICE, at_ms=0)
        self.list_as(builders.PLAIN_SERVICE, at_ms=500)
        chosen = self.chosen_endpoints(at_ms=600)
        self.assertEqual({'i-1', 'i-3'}, chosen)
        for _ in range(4):
            self.send_request(direct.MODEL_PATH, at_ms=700)
            self.assertEqual('i-2', self.offered()[0])
