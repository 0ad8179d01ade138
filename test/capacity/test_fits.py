"""The line through measurements, and what is said of a poor one."""

import unittest

from tools.capacity import figures
from tools.capacity import fits
from tools.capacity import tables


def points(*values):
    return [fits.Point(10 * at, value) for at, value in enumerate(values, 1)]


def slope(*values):
    return figures.slope('a', 'us', 'thing', 'how', points(*values))


class LineTest(unittest.TestCase):
    def test_exact_line(self):
        fit = fits.line(points(12, 14, 16, 18))
        self.assertAlmostEqual(0.2, fit.slope)
        self.assertAlmostEqual(10, fit.base)
        self.assertAlmostEqual(0, fit.spread)
        self.assertAlmostEqual(1, fit.r2)
        self.assertAlmostEqual(30, fit.at(100))

    def test_spread_is_the_standard_error_of_the_slope(self):
        # By hand: slope 0.1, residuals 0.5, -1, 0.5, so a variance of 1.5
        # over the 200 that the sizes scatter.
        fit = fits.line(points(0.5, 0, 2.5))
        self.assertAlmostEqual(0.1, fit.slope)
        self.assertAlmostEqual((1.5 / 200) ** 0.5, fit.spread)

    def test_two_points_have_no_spread(self):
        with self.assertRaises(ValueError):
            fits.line(points(1, 2))


class PoorFitTest(unittest.TestCase):
    def named(self, *found):
        return tables.poor({str(at): item for at, item in enumerate(found)})

    def test_curve_is_named(self):
        curved = slope(1, 4, 9, 16, 25, 80)
        self.assertEqual([curved], self.named(curved, slope(1, 2, 3.01)))

    def test_noise_on_a_flat_line_is_not(self):
        self.assertEqual([], self.named(slope(100, 101, 99, 100)))
