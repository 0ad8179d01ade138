"""A gateway tells sidecars how many adapters fit into memory."""

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow.util import addresses
from test.hosted import test_gateway_direct as direct
from test import platform_builders as builders

ADDRESS = '10.0.0.1:80'


class RoomTestCase(direct.DirectTestCase):
    memory_mb = 74_600.0

    def configure(self):
        models = [
            {
                'Name': builders.MODEL,
                'WeightsMb': 72_700.0,
                'Adapters': 3000,
                'AdapterMb': 400.0,
            }
        ]
        engine = {'WeightsMb': self.memory_mb, 'Models': models}
        self.publish(builders.configuration_record(engine=engine))
        self.list_instances(direct.direct_instance('i-1', ADDRESS))
        self.open_link(addresses.sidecar_peer(ADDRESS), events.Role.ENDPOINT)


class TightMemoryTest(RoomTestCase):
    def test_sidecar_is_told_what_memory_holds(self):
        """Guards against a fifth adapter where memory holds four."""
        (told,) = self.sent(messages.AdapterDemands)
        self.assertEqual(4, told.slots)

    def test_waits_for_an_adapter_that_fits(self):
        self.send_request(direct.MODEL_PATH, adapter='a3')
        self.assertEqual([], self.of_type(effects.AnswerError))


class FullMemoryTest(RoomTestCase):
    memory_mb = 72_900.0

    def test_adapter_that_fits_nowhere_is_refused_at_once(self):
        """Guards against requests that wait for a load that can't come."""
        self.send_request(direct.MODEL_PATH, adapter='a3')
        self.assertIs(errors.Kind.LOAD_FAILED, self.answer().kind)
        self.assertIs(errors.Ran.NOT_RUN, self.answer().ran)

    def test_link_to_the_sidecar_is_kept(self):
        """Guards against a model that nobody loads, as no adapter fits."""
        (told,) = self.sent(messages.AdapterDemands)
        self.assertEqual(0, told.slots)
        self.assertEqual((builders.MODEL,), told.models)
