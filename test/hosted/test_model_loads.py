"""Tests of endpoints that start empty and load their model from one store.

This happens in a rollout, when every endpoint of a service is replaced within
seconds. A load takes 4.3 s and the store serves one at full speed, which are
the users' figures for five and six endpoints.
"""

from berylhollow import effects
from berylhollow import events
from berylhollow import messages
from berylhollow.util import addresses
from test import builders as samples
from test.hosted import test_gateway_direct as direct
from test.loader import loader_helper

NEEDED = messages.ModelLoad.NEEDED
UNDER_WAY = messages.ModelLoad.UNDER_WAY


class LoadOrderTest(direct.DirectTestCase):
    """A gateway with empty endpoints that each have a sidecar."""

    def list_endpoints(self, count):
        self.names = [f'i-{number}' for number in range(count)]
        rows = [
            direct.direct_instance(name, self.address(name), models=())
            for name in self.names
        ]
        self.list_instances(*rows)
        for name in self.names:
            peer = addresses.sidecar_peer(self.address(name))
            self.open_link(peer, events.Role.ENDPOINT)

    def address(self, name):
        return f'10.0.0.{name[2:]}:80'

    def report_all(self, **loads):
        for name in self.names:
            load = loads.get(name.replace('-', ''), NEEDED)
            ready = load is messages.ModelLoad.NONE
            self.report(self.address(name), ready=ready, model_load=load)

    def allowed_at_tick(self, at_ms=1000):
        """Return the endpoints that are allowed to load at the next tick."""
        self.feed(events.Ticked(at_ms, 0.5))
        return self.allowed()

    def allowed(self):
        """Return the endpoints that the last event allowed to load."""
        holds = {
            effect.message.endpoint: effect.message.hold_model
            for effect in self.of_type(effects.Send)
            if isinstance(effect.message, messages.AdapterDemands)
        }
        self.assertEqual(set(self.names), set(holds))
        return [name for name in self.names if not holds[name]]

    def test_endpoints_load_one_after_the_other(self):
        """Guards against loads at the same time that slow each other down.

        Five endpoints were replaced within some seconds and loaded at once.
        Each load took five times as long, and the service refused all
        requests for 21 s.
        """
        self.list_endpoints(5)
        self.report_all()
        self.assertEqual(1, len(self.allowed_at_tick()))

    def test_load_under_way_keeps_its_turn(self):
        self.list_endpoints(5)
        self.report_all(i3=UNDER_WAY)
        self.assertEqual(['i-3'], self.allowed_at_tick())

    def test_next_load_is_allowed_at_once(self):
        """Guards against a delay until the next regular demand report."""
        self.list_endpoints(5)
        self.report_all(i3=UNDER_WAY)
        self.allowed_at_tick()
        self.report_all(i3=messages.ModelLoad.NONE)
        (following,) = set(self.allowed_at_tick(at_ms=1050)) - {'i-3'}
        self.assertIn(following, self.names)

    def test_larger_service_loads_several_at_once(self):
        self.list_endpoints(20)
        self.report_all()
        self.assertEqual(3, len(self.allowed_at_tick()))

    def test_leaving_endpoint_is_not_allowed_to_load(self):
        self.list_endpoints(2)
        self.report_all()
        leaving = direct.direct_instance(
            'i-0', self.address('i-0'), leaving=True
        )
        other = direct.direct_instance('i-1', self.address('i-1'), models=())
        self.list_instances(leaving, other, at_ms=900)
        self.assertEqual(['i-1'], self.allowed())


class HeldLoadTest(loader_helper.LoaderTestCase):
    """A loader whose endpoint has started without a model."""

    def receive_holds(self, *holds, at_ms=0):
        for number, hold in enumerate(holds):
            message = messages.AdapterDemands(
                loader_helper.ENDPOINT,
                samples.SERVICE,
                2,
                (loader_helper.MODEL,),
                (),
                0,
                hold,
            )
            self.receive(message, at_ms, f'g{number}')

    def test_held_endpoint_waits_for_its_turn(self):
        self.report(models=())
        self.receive_holds(True)
        self.assert_no_order()
        self.assertIn('model waits for its turn', self.log_texts())
        self.receive_holds(True, False)
        self.assertIn('model has its turn', self.log_texts())
        self.assertEqual(loader_helper.MODEL, self.order().name)

    def log_texts(self):
        return [effect.text for effect in self.of_type(effects.Log)]

    def test_local_model_is_loaded_at_once(self):
        """After a restart in place the model is not read from the store."""
        self.report(models=(), local_models=(loader_helper.MODEL,))
        self.receive_holds(True)
        self.assertEqual(loader_helper.MODEL, self.order().name)

    def test_report_has_the_state_of_the_model_load(self):
        self.receive_holds(True)
        self.report(models=(), at_ms=600)
        (report,) = [
            effect.message
            for effect in self.of_type(effects.Send)
            if isinstance(effect.message, messages.Report)
        ]
        self.assertIs(NEEDED, report.model_load)
