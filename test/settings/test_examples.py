"""The settings and manifests in ``examples/`` are valid."""

import pathlib
import unittest

from berylhollow import manifest
from berylhollow import settings

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'


class ExamplesTest(unittest.TestCase):
    def test_settings_of_every_role(self):
        checked = set()
        for role in settings.Role:
            for path in EXAMPLES.glob(f'*/{role.value}.jsonc'):
                with self.subTest(path=path):
                    settings.load(path, role)
                    checked.add(role)
        self.assertEqual(set(settings.Role), checked)

    def test_manifests(self):
        paths = list(EXAMPLES.glob('*/manifest.jsonc'))
        self.assertEqual(3, len(paths))
        for path in paths:
            with self.subTest(path=path):
                self.assertTrue(manifest.load(path).services)
