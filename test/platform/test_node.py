"""Tests of loading the platform's node file."""

import pathlib
import tempfile
import unittest

from berylhollow import platform
from berylhollow.util import exits
from test import platform_builders as builders


class NodeTest(unittest.TestCase):
    def load(self, text, serves_callers=True):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, 'local.toml')
            path.write_text(text)
            return platform.load(path, serves_callers)

    def load_faults(self, *replacements, serves_callers=True):
        text = builders.NODE_FILE
        for old, new in replacements:
            self.assertIn(old, text)
            text = text.replace(old, new)
        with self.assertRaises(exits.UserError) as caught:
            self.load(text, serves_callers)
        self.assertEqual(exits.ExitCode.INVALID, caught.exception.exit_code)
        return caught.exception.message.splitlines()

    def test_whole_file_with_unknown_fields(self):
        node = self.load(builders.NODE_FILE)
        self.assertEqual('front-sal-kista-1', node.instance)
        self.assertEqual(7380, node.link_port)
        self.assertEqual(7395, node.metrics_port)
        self.assertEqual(8000, node.stop_grace_ms)
        self.assertEqual('127.0.0.1:8142', str(node.store))

    def test_limit_of_superseded_versions(self):
        """Guards against a limit that is not the platform's own."""
        self.assertEqual(5000, self.load(builders.NODE_FILE).version_limit_ms)
        text = builders.NODE_FILE.replace(
            '[Bounds]', '[Bounds]\nversion_ms = 3000'
        )
        self.assertEqual(3000, self.load(text).version_limit_ms)

    def test_sidecar_needs_no_callers(self):
        text = builders.NODE_FILE.replace('Front =', 'Other =')
        node = self.load(text, serves_callers=False)
        self.assertEqual('127.0.0.1:8145', str(node.endpoint))

    def test_every_fault_is_named_with_its_path(self):
        faults = self.load_faults(
            ('Node = "front-sal-kista-1"', ''),
            ('[7380, 7395]', '[7395, 7380]'),
            ('GraceS = 8', 'GraceS = "8"'),
            ('RetryRatio = 0.2', 'RetryRatio = 2'),
            ('"127.0.0.1:8142"', '"here"'),
        )
        paths = [fault.split(': ')[1] for fault in faults]
        self.assertEqual(
            [
                'PortRange',
                'Node',
                'Platform.Address',
                'Bounds.RetryRatio',
                'Bounds.GraceS',
            ],
            paths,
        )

    def test_truth_value_is_no_number(self):
        (fault,) = self.load_faults(('GraceS = 8', 'GraceS = true'))
        self.assertIn('Bounds.GraceS: must be int or float', fault)

    def test_file_that_is_no_toml(self):
        with self.assertRaises(exits.UserError):
            self.load('Node =')
