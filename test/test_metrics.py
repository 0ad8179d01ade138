"""Tests of the metrics and their Prometheus rendering."""

import re
import unittest

from berylhollow import metrics

SERVICE = ('berylhollow.service', 'vaxel-ai')


class MetersTest(unittest.TestCase):
    def setUp(self):
        self.meters = metrics.Meters('gateway', 'one', 'sal-kista')

    def rendered(self):
        return self.meters.render().decode()

    def test_each_kind_is_rendered(self):
        self.meters.add('berylhollow.retries', 2, [SERVICE])
        self.meters.add('berylhollow.queue_length', 7, [SERVICE])
        self.meters.add('http.server.active_requests', 2, [SERVICE])
        self.meters.add('http.server.active_requests', -1, [SERVICE])
        self.meters.add('berylhollow.first_token.duration', 0.4, [SERVICE])
        text = self.rendered()
        label = '{berylhollow_service="vaxel-ai"}'
        self.assertIn(f'berylhollow_retries_total{label} 2.0\n', text)
        self.assertIn(f'berylhollow_queue_length{label} 7.0\n', text)
        self.assertIn(f'http_server_active_requests{label} 1.0\n', text)
        buckets = dict(
            re.findall(
                r'^berylhollow_first_token_duration_seconds_bucket'
                r'\{.*le="(.*?)".*\} (\S+)$',
                text,
                re.MULTILINE,
            )
        )
        self.assertEqual((buckets['0.3'], buckets['0.45']), ('0.0', '1.0'))

    def test_process_and_target_are_named(self):
        # The exporter names its target only once there is a value.
        self.meters.add('berylhollow.late_frames')
        text = self.rendered()
        self.assertIn('process_resident_memory_bytes', text)
        self.assertIn('service_instance_id="one"', text)

    def test_value_outside_the_table_is_counted_not_raised(self):
        # Memory grows until the node is killed: someone labelled a metric
        # with the adapter, and each of thousands became a series.
        adapter = [('berylhollow.adapter', 'a')]
        with self.assertLogs('berylhollow.metrics', 'ERROR') as caught:
            self.meters.add('berylhollow.retries', 1, adapter)
            self.meters.add('berylhollow.retries', 1, adapter)
            self.meters.add('berylhollow.nonsense')
        self.assertEqual(len(caught.records), 2)
        text = self.rendered()
        self.assertIn('berylhollow_metrics_rejected_total 3.0\n', text)
        self.assertNotIn('berylhollow_adapter', text)

    def test_two_sets_of_meters_are_apart(self):
        self.meters.add('berylhollow.late_frames')
        other = metrics.Meters('sidecar', 'two', 'sal-kista')
        self.assertNotIn('berylhollow_late_frames', other.render().decode())


class TableTest(unittest.TestCase):
    def test_table_is_documented_and_lean(self):
        forbidden = re.compile(r'adapter|caller|request_id|attempt')
        for instrument in metrics.INSTRUMENTS.values():
            with self.subTest(instrument.name):
                self.assertTrue(instrument.meaning.endswith('.'))
                for attribute in instrument.attributes:
                    self.assertNotRegex(attribute, forbidden)
                is_histogram = (
                    instrument.kind is metrics.InstrumentKind.HISTOGRAM
                )
                self.assertEqual(bool(instrument.buckets), is_histogram)
                self.assertEqual(
                    sorted(instrument.buckets), list(instrument.buckets)
                )
