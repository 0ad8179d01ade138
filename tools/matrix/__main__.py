"""Run the fault matrix; the last line gives the result.

``python -m tools.matrix`` runs all cells and writes the reference page;
``--short`` runs an even share of them, as CI does. ``--walks 500`` plays so
many walks of the search over orders of events instead, ``--first`` says from
which number on.
"""

import argparse
import collections
import concurrent.futures
import pathlib
import sys

from tools.matrix import _cells
from tools.matrix import _flows
from tools.matrix import _guards
from tools.matrix import _plan
from tools.matrix import _search
from tools.matrix import _table

PAGE = pathlib.Path(__file__).parents[2] / 'docs/reference/fault-matrix.md'
WORKERS = 3
CHUNK = 16
MOST_SHOWN = 5


def main() -> int:
    arguments = parse_arguments()
    if arguments.walks:
        return search(arguments)
    steps = {flow: dict(_cells.steps_of(flow)) for flow in _flows.FLOWS}
    plan = _plan.short(steps) if arguments.short else _plan.full(steps)
    table = _table.Table()
    with concurrent.futures.ProcessPoolExecutor(arguments.workers) as pool:
        failures = run_cells(pool, plan, table)
        catches = list(pool.map(_guards.catch, _guards.GUARDS))
    show(failures)
    caught = [x for x in catches if x.result is not None]
    for found in catches:
        if found.result is None:
            print(f'not caught without the guard: {found.name}')
    closing = (
        f'matrix: {table.total.cells} cells, '
        f'{table.total.violations} violations, '
        f'{len(catches)} guards, {len(caught)} caught'
    )
    if not arguments.short:
        PAGE.write_text(table.text(steps, catches, closing), encoding='utf-8')
    print(closing, flush=True)
    return 1 if table.total.violations or len(caught) < len(catches) else 0


def parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='python -m tools.matrix')
    parser.add_argument('--short', action='store_true')
    parser.add_argument('--workers', type=int, default=WORKERS)
    parser.add_argument('--walks', type=int, default=0)
    parser.add_argument('--first', type=int, default=0)
    return parser.parse_args()


def search(arguments: argparse.Namespace) -> int:
    """Play walks; print the fewest steps of each that breaks a promise."""
    seeds = range(arguments.first, arguments.first + arguments.walks)
    with concurrent.futures.ProcessPoolExecutor(arguments.workers) as pool:
        played = pool.map(_search.play_seed, seeds, chunksize=CHUNK)
        broken = [found for found in played if found.violations]
    for found in broken:
        print(f'walk {found.seed}: {found.violations[0]}')
        for step in _search.shrink(_search.walk(found.seed)):
            print(f'  {step}')
    print(f'search: {len(seeds)} walks, {len(broken)} broken', flush=True)
    return 1 if broken else 0


def run_cells(pool, plan, table: _table.Table) -> list[_cells.Result]:
    """Run all cells and return the results that show a violation."""
    failures = []
    for kind, cells in plan.items():
        print(f'{kind}: {len(cells)} cells', flush=True)
        for result in pool.map(_cells.run, cells, chunksize=CHUNK):
            table.add(kind, result)
            if result.violations:
                failures.append(result)
    return failures


def show(failures: list[_cells.Result]) -> None:
    """Print some cells of each promise that was broken."""
    by_promise = collections.defaultdict(list)
    for result in failures:
        by_promise[result.violations[0].promise].append(result)
    for promise, results in by_promise.items():
        print(f'{promise}: broken in {len(results)} cells')
        for result in results[:MOST_SHOWN]:
            strikes = '; '.join(map(_table.describe, result.cell.strikes))
            print(f'  {result.cell.flow}: {strikes}')
            print(f'    {result.violations[0].text}')


if __name__ == '__main__':
    sys.exit(main())
