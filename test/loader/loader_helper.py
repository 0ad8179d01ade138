"""Base test case that feeds reports, demands and verdicts to a loader."""

from berylhollow import effects
from berylhollow import events
from berylhollow import loader
from berylhollow import messages
from test import helper

MODEL = 'm'
PEER = 'g1'
ENDPOINT = 'i-1'


def adapter_version(adapter, version='1'):
    return messages.AdapterVersion(f'{MODEL}/{adapter}', version)


def demand(adapter, waiting=1, in_flight=0, rate=0.0, version='1', **changes):
    return messages.AdapterDemand(
        adapter_version(adapter, version),
        waiting,
        in_flight,
        rate,
        **changes,
    )


class LoaderTestCase(helper.ReducerTestCase):
    def setUp(self):
        options = loader.Options(instance='side-1', service='s')
        self.begin(loader.reduce, loader.State(options))
        self.orders = 0
        self.open_link(PEER, events.Role.GATEWAY)

    def send_demands(
        self,
        *entries,
        at_ms=0,
        endpoint=ENDPOINT,
        slots=2,
        peer=PEER,
        started_ms=0,
        **changes,
    ):
        message = messages.AdapterDemands(
            endpoint,
            's',
            slots,
            (MODEL,),
            tuple(entries),
            started_ms,
            **changes,
        )
        return self.receive(message, at_ms, peer)

    def report(self, held=(), loading=(), at_ms=0, **changes):
        values = {
            'at_ms': at_ms,
            'read': self.state.reads,
            'orders': self.orders,
            'models': (MODEL,),
            'busy': False,
            'held': tuple(held),
            'loading': tuple(loading),
            'waiting': 0,
            'running': 0,
        }
        return self.feed(events.AdaptersReported(**(values | changes)))

    def order(self):
        """Return the single order among the effects of the last event."""
        (order,) = self.of_type(effects.OrderAdapter)
        return order

    def end_order(self, verdict=events.OrderVerdict.ACCEPTED, at_ms=0):
        order_id = self.state.order.order_id
        if verdict is events.OrderVerdict.ACCEPTED:
            self.orders += 1
        return self.feed(events.OrderEnded(at_ms, order_id, verdict))

    def assert_no_order(self):
        self.assertEqual([], self.of_type(effects.OrderAdapter))
