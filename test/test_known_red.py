"""The list of tests that are known to fail."""

import pathlib
import tempfile
import unittest

from test import known_red


class VerdictTest(unittest.TestCase):
    class Red(unittest.TestCase):
        def runTest(self):
            for number in range(2):
                with self.subTest(number=number):
                    self.fail()

    class Green(unittest.TestCase):
        def runTest(self):
            pass

    def judge(self, test, entries):
        result = unittest.TestResult()
        test.run(result)
        return known_red.verdict([test], result, entries)

    def test_failed_test_counts_once(self):
        name = self.Red().id()
        verdict = self.judge(self.Red(), {})
        self.assertEqual(known_red.Verdict((name,), (), ()), verdict)

    def test_listed_test_is_passed_over(self):
        name = self.Red().id()
        verdict = self.judge(self.Red(), {name: f'{name} and why'})
        expected = known_red.Verdict((), (f'{name} and why',), ())
        self.assertEqual(expected, verdict)

    def test_listed_test_that_passes_is_told(self):
        name = self.Green().id()
        verdict = self.judge(self.Green(), {name: name})
        self.assertEqual(known_red.Verdict((), (), (name,)), verdict)


class FileTest(unittest.TestCase):
    def test_comments_name_no_test(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'KNOWN-RED.txt'
            path.write_text('# why\n\nsome.test | seen\n')
            entries = known_red.read(path)
        self.assertEqual({'some.test': 'some.test | seen'}, entries)

    def test_without_a_file_nothing_is_known(self):
        self.assertEqual({}, known_red.read(pathlib.Path('nowhere')))
