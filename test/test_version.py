"""Tests of the package's own version."""

import re
import unittest

import berylhollow


class VersionTest(unittest.TestCase):
    def test_version_has_three_numbers(self):
        self.assertRegex(
            berylhollow.__version__, re.compile(r'^\d+\.\d+\.\d+$')
        )
