"""Tests of the metrics and their Prometheus rendering."""

import ast
import asyncio
import pathlib
import re
import threading
import unittest

import berylhollow
from berylhollow import metrics

RECORDING_FUNCTIONS = ('Count', 'add', 'count', 'observe')
PREFIXES = ('berylhollow.', 'http.')
SERVICE = ('berylhollow.service', 'vaxel-ai')


class MetersTest(unittest.TestCase):
    def setUp(self):
        self.meters = metrics.Meters('gateway', 'one', 'sal-kista')

    def rendered(self):
        return self.meters.render().decode()

    def test_each_kind_is_rendered(self):
        loads = [SERVICE, ('berylhollow.outcome', 'loaded')]
        self.meters.add('berylhollow.loads', 2, loads)
        self.meters.add('berylhollow.load_stall.duration', 0.4, [SERVICE])
        self.meters.observe('berylhollow.running', lambda: 7, [SERVICE])
        text = self.rendered()
        self.assertIn(
            'berylhollow_loads_total{berylhollow_outcome="loaded",'
            'berylhollow_service="vaxel-ai"} 2.0\n',
            text,
        )
        self.assertIn(
            'berylhollow_running{berylhollow_service="vaxel-ai"} 7.0\n', text
        )
        self.assertIn('berylhollow_log_lines_dropped_total 0.0\n', text)
        buckets = dict(
            re.findall(
                r'^berylhollow_load_stall_duration_seconds_bucket'
                r'\{.*le="(.*?)".*\} (\S+)$',
                text,
                re.MULTILINE,
            )
        )
        self.assertEqual((buckets['0.3'], buckets['0.45']), ('0.0', '1.0'))

    def test_process_and_target_are_named(self):
        text = self.rendered()
        self.assertIn('process_resident_memory_bytes', text)
        self.assertIn('service_instance_id="one"', text)

    def test_value_outside_the_table_is_counted_not_raised(self):
        # Guards against memory that grows until the node is killed: a metric
        # labelled with the adapter has a series for each of thousands.
        adapter = [('berylhollow.adapter', 'a')]
        with self.assertLogs('berylhollow.metrics', 'ERROR') as caught:
            self.meters.add('berylhollow.loads', 1, adapter)
            self.meters.add('berylhollow.loads', 1, adapter)
            self.meters.add('berylhollow.nonsense')
            self.meters.add('berylhollow.running')
        self.assertEqual(len(caught.records), 3)
        text = self.rendered()
        self.assertIn('berylhollow_metrics_rejected_total 4.0\n', text)
        self.assertNotIn('berylhollow_adapter', text)

    def test_meters_do_not_share_values(self):
        self.meters.add('berylhollow.loads')
        other = metrics.Meters('sidecar', 'two', 'sal-kista')
        self.assertNotIn('berylhollow_loads', other.render().decode())

    def test_observe_rejects_instruments_that_are_not_observed(self):
        for name in ('berylhollow.loads', 'berylhollow.nonsense'):
            with self.subTest(name), self.assertRaises(ValueError):
                self.meters.observe(name, lambda: 1)


class TableTest(unittest.TestCase):
    def test_instruments_have_meanings_and_no_unbounded_attributes(self):
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

    def test_table_and_code_name_the_same_metrics(self):
        # Guards against an empty dashboard: a documented metric that no code
        # records, or one recorded under a name that the table lacks.
        self.assertEqual(recorded_names(), set(metrics.INSTRUMENTS))


def recorded_names():
    """Return the metric names in calls of the recording functions."""
    folder = pathlib.Path(berylhollow.__file__).parent
    trees = (
        ast.parse(path.read_text(encoding='utf-8'))
        for path in folder.rglob('*.py')
    )
    return {name for tree in trees for name in names_in(tree)}


def names_in(tree):
    constants = {
        node.targets[0].id: node.value
        for node in tree.body
        if isinstance(node, ast.Assign)
        and isinstance(node.targets[0], ast.Name)
    }
    for call in ast.walk(tree):
        if not isinstance(call, ast.Call) or not call.args:
            continue
        if getattr(call.func, 'attr', '') in RECORDING_FUNCTIONS:
            first = call.args[0]
            first = constants.get(getattr(first, 'id', ''), first)
            name = getattr(first, 'value', None)
            if str(name).startswith(PREFIXES):
                yield name


class OpenSoonTest(unittest.TestCase):
    def test_stop_does_not_wait_for_the_libraries(self):
        """Guards against a stop that waits for the metrics import.

        When the import ran in a thread of the event loop's executor, a
        sidecar stopped soon after its start on a busy instance waited for it
        longer than the grace period, and exited with an error.
        """
        release = threading.Event()
        opened = threading.Event()

        class Slow:
            def open(self):
                opened.set()
                release.wait()

        async def serve():
            metrics.open_in_background(Slow())
            opened.wait()

        # Unblocks the import if the stop does wait for it, so the test ends.
        guard = threading.Timer(5.0, release.set)
        guard.start()
        self.addCleanup(guard.cancel)
        asyncio.run(serve())
        self.assertFalse(release.is_set())
        release.set()
