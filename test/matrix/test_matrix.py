"""A slice of the fault matrix, and proof that it can fail.

CI runs a larger share with ``make matrix-short``.
"""

import unittest

from tools.matrix import _cells
from tools.matrix import _faults
from tools.matrix import _flows
from tools.matrix import _guards

QUICK = ('pin', 'claim', 'retry rule', 'drain refusal', 'quarantine')


class MatrixTest(unittest.TestCase):
    def test_flows_without_a_fault_keep_every_promise(self):
        for flow in _flows.FLOWS:
            with self.subTest(flow):
                result = _cells.run(_cells.Cell(flow))
                self.assertEqual((), result.violations)

    def test_each_fault_in_the_middle_of_a_flow(self):
        flows = list(_flows.FLOWS)
        for number, fault in enumerate(_faults.FAULTS):
            strike = _cells.Strike(fault, 'deliver Offer', 2)
            cell = _cells.Cell(flows[number % len(flows)], (strike,))
            with self.subTest(cell=cell):
                result = _cells.run(cell)
                self.assertEqual(1, result.struck)
                self.assertEqual((), result.violations)

    def test_a_cell_is_the_same_each_time(self):
        strike = _cells.Strike('sidecar killed', 'deliver Offer', 2)
        cell = _cells.Cell('request', (strike,))
        self.assertEqual(_cells.run(cell), _cells.run(cell))

    def test_a_missing_guard_shows(self):
        for name in QUICK:
            with self.subTest(name):
                self.assertIsNotNone(_guards.catch(name).result)
