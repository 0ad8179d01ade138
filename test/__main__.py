"""Run the whole suite and close with ``N passed, N failed``.

``python -m test`` runs everything; ``python -m test PATTERN`` only the test
modules whose file name matches the shell pattern. The names of those that
failed stand just before the count. A run that finds no test fails: an empty
suite must never look like a green one.
"""

import argparse
import faulthandler
import pathlib
import sys
import unittest

# A test that waits for something that never comes would hang the run; it is
# ended with the stacks of all threads, which show where.
HANG_S = 900
FOLDER = pathlib.Path(__file__).parent


def parse_arguments():
    parser = argparse.ArgumentParser(prog='python -m test')
    parser.add_argument('pattern', nargs='?', default='test_*.py')
    parser.add_argument('--verbose', action='store_true')
    return parser.parse_args()


def main():
    arguments = parse_arguments()
    faulthandler.dump_traceback_later(HANG_S, exit=True)
    suite = unittest.TestLoader().discover(
        str(FOLDER), pattern=arguments.pattern, top_level_dir=FOLDER.parent
    )
    runner = unittest.TextTestRunner(verbosity=1 + arguments.verbose)
    result = runner.run(suite)
    failed = len(result.failures) + len(result.errors)
    failed += len(result.unexpectedSuccesses)
    passed = result.testsRun - failed - len(result.skipped)
    if result.testsRun == 0:
        print('no test was found', file=sys.stderr)
    # Last, so that the names are kept by whoever keeps the last lines.
    for test, _ in result.failures + result.errors:
        print(f'failed: {test.id()}')
    print(f'{passed} passed, {failed} failed', flush=True)
    return 1 if failed or passed == 0 else 0


if __name__ == '__main__':
    sys.exit(main())
