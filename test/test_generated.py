"""Tests that committed generated files match what they come from."""

import unittest

from tools import generate


class GeneratedTest(unittest.TestCase):
    def test_files_are_current(self):
        for name, text in generate.GENERATED.items():
            with self.subTest(name):
                committed = (generate.ROOT / name).read_text(encoding='utf-8')
                self.assertEqual(text(), committed, 'run: make generate')
