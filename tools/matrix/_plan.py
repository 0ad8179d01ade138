"""Which cells are run: all of them, or an even share for CI."""

import collections.abc
import itertools

from tools.matrix import _cells
from tools.matrix import _faults
from tools.matrix import _flows

AFTERS = (1, 2, 5, 13, 34, 89, 233)
"""How many actions after the first strike a second one follows."""
PAIR_STEPS = 2
"""At how many steps of a flow each ordered pair of faults strikes."""
OFTEN = 3
"""A step that happens this often is struck at its middle time too."""
SHARE = 11
TWICE_SHARE = 23
PAIR_SHARE = 23
"""CI runs every so-manieth cell of each kind."""

Cells = collections.abc.Iterator[_cells.Cell]


def full(steps: dict[str, dict[str, int]]) -> dict[str, list[_cells.Cell]]:
    """Return all cells by kind; ``steps`` are those of each flow."""
    return {
        'none': [_cells.Cell(flow) for flow in _flows.FLOWS],
        'one': list(single(steps)),
        'twice': list(twice(steps)),
        'two': list(pairs(steps)),
    }


def short(steps: dict[str, dict[str, int]]) -> dict[str, list[_cells.Cell]]:
    """Return an even share of all cells, the same every time."""
    cells = full(steps)
    return {
        'none': cells['none'],
        'one': cells['one'][::SHARE],
        'twice': cells['twice'][::TWICE_SHARE],
        'two': cells['two'][::PAIR_SHARE],
    }


def single(steps: dict[str, dict[str, int]]) -> Cells:
    """Yield each fault at each step of each flow."""
    for flow, counts in steps.items():
        for step, fault in itertools.product(counts, _faults.FAULTS):
            times = [1]
            if counts[step] >= OFTEN:
                times.append(1 + counts[step] // 2)
            for number in times:
                yield _cells.Cell(flow, (_cells.Strike(fault, step, number),))


def twice(steps: dict[str, dict[str, int]]) -> Cells:
    """Yield each fault at each step, and the same once more soon after."""
    afters = itertools.cycle(AFTERS)
    for flow, counts in steps.items():
        for step, fault in itertools.product(counts, _faults.FAULTS):
            yield _pair(flow, step, (fault, fault), next(afters))


def pairs(steps: dict[str, dict[str, int]]) -> Cells:
    """Yield each ordered pair of faults at some steps of each flow."""
    afters = itertools.cycle(AFTERS)
    for flow, counts in steps.items():
        rotation = itertools.cycle(counts)
        for both in itertools.permutations(_faults.FAULTS, 2):
            for _ in range(PAIR_STEPS):
                yield _pair(flow, next(rotation), both, next(afters))


def _pair(
    flow: str, step: str, both: tuple[str, str], after: int
) -> _cells.Cell:
    first = _cells.Strike(both[0], step, 1)
    return _cells.Cell(flow, (first, _cells.Strike(both[1], '', after)))
