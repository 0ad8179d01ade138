"""The trace format: read back as written, every fault with its line."""

import pathlib
import tempfile
import unittest

from berylhollow import replay

REQUEST = replay.TraceRequest(
    at_ms=5,
    caller='firm-1',
    service='modelos',
    adapter='lora-1',
    version='2',
    prompt_tokens=10,
    output_tokens=20,
    priority=3,
    deadline_ms=4000,
)
ORDER = replay.TraceRequest(
    at_ms=7, caller='firm-2', service='balcao', idempotent=False, key='k1'
)
FAULT = replay.TraceFault(9, 'weights_down', 'weights', 500)


class TraceTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def read_text(self, text):
        path = self.folder / 'trace.jsonl'
        path.write_text(text, encoding='utf-8')
        return replay.read_trace(path)

    def test_items_are_read_back_as_written(self):
        items = [REQUEST, ORDER, FAULT]
        for name in ('trace.jsonl', 'trace.jsonl.gz'):
            with self.subTest(name):
                path = self.folder / name
                replay.write_trace(path, items)
                self.assertEqual(replay.read_trace(path), items)

    def test_the_same_items_give_the_same_bytes(self):
        first = self.folder / 'first.jsonl.gz'
        second = self.folder / 'second.jsonl.gz'
        replay.write_trace(first, [REQUEST])
        replay.write_trace(second, [REQUEST])
        self.assertEqual(first.read_bytes(), second.read_bytes())

    def test_a_plain_service_has_null_for_its_adapter(self):
        path = self.folder / 'trace.jsonl'
        replay.write_trace(path, [ORDER])
        self.assertIn('"adapter":null', path.read_text(encoding='utf-8'))

    def test_faults_name_the_line(self):
        good = '{"at_ms": 1, "caller": "c", "service": "s"}\n'
        cases = {
            'no json': 'Expecting value',
            '[]': 'not an object',
            '{"at_ms": 1, "caller": "c"}': 'service',
            '{"at_ms": "1", "caller": "c", "service": "s"}': 'at_ms',
            '{"at_ms": -1, "caller": "c", "service": "s"}': 'negative',
            '{"at_ms": 1, "caller": "c", "service": "s", "x": 1}': "'x'",
            '{"at_ms": 0, "caller": "c", "service": "s"}': 'back in time',
            '{"at_ms": 1, "fault": 3}': 'fault',
        }
        for line, expected in cases.items():
            with self.subTest(line):
                with self.assertRaises(replay.TraceError) as caught:
                    self.read_text(good + line)
                self.assertIn('line 2', caught.exception.message)
                self.assertIn(expected, caught.exception.message)
