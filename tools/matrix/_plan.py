"""Which cells are run: all of them, or an even share for CI."""

import collections.abc
import itertools

from tools.matrix import _cells
from tools.matrix import _faults
from tools.matrix import _flows

AFTERS = (1, 2, 5, 13, 34, 89, 233)
"""How many actions after the first strike a second one follows."""
OFTEN = 3
"""A step that happens this often may be struck at its middle time too."""
MIDDLE_SHARE = 5
TWICE_SHARE = 5
"""Every so-manieth cell is run at the middle time, and twice."""
CI_SHARES = {'none': 1, 'one': 13, 'twice': 11, 'two': 19}
"""CI runs every so-manieth cell of each kind."""

Cells = collections.abc.Iterator[_cells.Cell]


def full(steps: dict[str, dict[str, int]]) -> dict[str, list[_cells.Cell]]:
    """Return all cells by kind; ``steps`` are those of each flow."""
    return {
        'none': [_cells.Cell(flow) for flow in _flows.FLOWS],
        'one': list(single(steps)),
        'twice': list(twice(steps))[::TWICE_SHARE],
        'two': list(pairs(steps)),
    }


def short(steps: dict[str, dict[str, int]]) -> dict[str, list[_cells.Cell]]:
    """Return an even share of all cells, the same every time."""
    cells = full(steps)
    return {kind: cells[kind][:: CI_SHARES[kind]] for kind in cells}


def single(steps: dict[str, dict[str, int]]) -> Cells:
    """Yield each fault at each step of each flow."""
    turn = itertools.cycle(range(MIDDLE_SHARE))
    for flow, counts in steps.items():
        for step, fault in itertools.product(counts, _faults.FAULTS):
            yield _cells.Cell(flow, (_cells.Strike(fault, step, 1),))
            if counts[step] >= OFTEN and not next(turn):
                middle = 1 + counts[step] // 2
                yield _cells.Cell(flow, (_cells.Strike(fault, step, middle),))


def twice(steps: dict[str, dict[str, int]]) -> Cells:
    """Yield each fault at each step, and the same once more soon after."""
    afters = itertools.cycle(AFTERS)
    for flow, counts in steps.items():
        for step, fault in itertools.product(counts, _faults.FAULTS):
            yield _pair(flow, step, (fault, fault), next(afters))


def pairs(steps: dict[str, dict[str, int]]) -> Cells:
    """Yield each ordered pair of faults at a step of each flow."""
    afters = itertools.cycle(AFTERS)
    for flow, counts in steps.items():
        rotation = itertools.cycle(counts)
        for both in itertools.permutations(_faults.FAULTS, 2):
            yield _pair(flow, next(rotation), both, next(afters))


def _pair(
    flow: str, step: str, both: tuple[str, str], after: int
) -> _cells.Cell:
    first = _cells.Strike(both[0], step, 1)
    return _cells.Cell(flow, (first, _cells.Strike(both[1], '', after)))
