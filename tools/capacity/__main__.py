"""Run measurements, and write their figures into docs/CAPACITY.md.

``python -m tools.capacity`` measures everything; with names of groups only
those. ``--tables`` writes the tables from the figures of the last runs.
"""

import argparse
import time

from tools.capacity import control
from tools.capacity import figures
from tools.capacity import memory
from tools.capacity import processor
from tools.capacity import ring
from tools.capacity import spread
from tools.capacity import tables
from tools.capacity import wire

GROUPS = {
    'memory': memory.measure,
    'processor': processor.measure,
    'wire': wire.measure,
    'ring': ring.measure,
    'control': control.measure,
    'spread': spread.measure,
}


def main() -> None:
    parser = argparse.ArgumentParser(prog='python -m tools.capacity')
    parser.add_argument('groups', nargs='*', help=', '.join(GROUPS))
    parser.add_argument('--tables', action='store_true')
    arguments = parser.parse_args()
    wanted = arguments.groups or ([] if arguments.tables else list(GROUPS))
    for name in wanted:
        began = time.monotonic()
        figures.save(name, GROUPS[name]())
        print(f'{name}: measured in {time.monotonic() - began:.0f} s')
    written = tables.write()
    found = figures.load()
    poor = tables.poor(found)
    for slope in poor:
        print(f'poor fit: {slope.name}, r2 {slope.fit.r2:.3f}')
    print(
        f'capacity: {len(found)} figures, {len(poor)} poor fits, '
        f'{written} tables written'
    )


if __name__ == '__main__':
    main()
