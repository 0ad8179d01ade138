"""The tables of the page are those that its figures give."""

import unittest

from tools.capacity import model
from tools.capacity import tables


class PageTest(unittest.TestCase):
    def test_tables_are_those_of_the_figures(self):
        """Somebody corrects a number on the page and not where it is from."""
        page = tables.PAGE.read_text(encoding='utf-8')
        rendered, count = tables.render(page)
        self.assertEqual(rendered, page)
        self.assertEqual(len(tables._TABLES), count)


class SizeTest(unittest.TestCase):
    def test_requests_in_flight_follow_from_the_letter(self):
        letter = model.SIZES[-1]
        # 34,000,000 / 140,000 tokens of 32 ms after the first at 0.45 s.
        lasts_s = 0.45 + 242.857 * 0.032
        self.assertAlmostEqual(140_000 * lasts_s, letter.in_flight, delta=100)

    def test_few_gateways_hold_every_claim(self):
        self.assertEqual(1, model.SIZES[0].ledgers)
        self.assertEqual(1 / 60, model.SIZES[-1].ledgers)
