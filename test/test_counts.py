"""Tests of the metrics that the reducers count."""

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow import metrics
from test import test_gateway
from test import test_sidecar


class CountsMixin:
    """Reads the metrics counted for the last event."""

    def counts(self, name):
        """Return value and attributes of each count of a metric.

        Fails if a count of any metric is not declared.
        """
        found = []
        for count in self.of_type(effects.Count):
            attributes = dict(count.attributes)
            metrics.check(count.name, attributes)
            if count.name == name:
                found.append((count.value, attributes))
        return found


class GatewayCountsTest(CountsMixin, test_gateway.GatewayTestCase):
    def retry_attributes(self):
        return [
            attributes['berylhollow.retry']
            for _, attributes in self.counts('berylhollow.attempts')
        ]

    def test_first_attempt_and_retry(self):
        peer, attempt_id = self.arrive(key='k')
        self.assertEqual(['false'], self.retry_attributes())
        refused = messages.Failed(
            attempt_id, errors.Kind.LEAVING, errors.Ran.NOT_RUN
        )
        self.receive(refused, peer=peer)
        self.assertEqual(['true'], self.retry_attributes())


class SidecarCountsTest(CountsMixin, test_sidecar.SidecarTestCase):
    def test_load_stall_and_batch_size_at_the_start_of_a_run(self):
        self.offer()
        (order,) = self.of_type(effects.LoadAdapter)
        self.feed(events.LoadSucceeded(250, order.order_id, 'epoch-1'))
        service = {'berylhollow.service': self.state.options.service}
        self.assertEqual(
            [(0.25, service)], self.counts('berylhollow.load_stall.duration')
        )
        self.assertEqual([(1, service)], self.counts('berylhollow.batch_size'))
        loaded = service | {'berylhollow.outcome': 'loaded'}
        self.assertEqual([(1, loaded)], self.counts('berylhollow.loads'))

    def test_failed_load(self):
        self.offer()
        (order,) = self.of_type(effects.LoadAdapter)
        self.feed(
            events.LoadFailed(
                5,
                order.order_id,
                events.Certainty.NOT_DONE,
                events.LoadFailure.WEIGHTS,
            )
        )
        ((_, attributes),) = self.counts('berylhollow.loads')
        self.assertEqual('weights', attributes['berylhollow.outcome'])

    def test_refused_attempt(self):
        self.offer(service='other')
        ((_, attributes),) = self.counts('berylhollow.attempts.failed')
        self.assertEqual('unknown_service', attributes['error.type'])
        self.assertEqual('not_run', attributes['berylhollow.ran'])
