"""Tests that fail for a fault that is known and not mended yet.

``KNOWN-RED.txt`` at the root has one line each: the test's id, then what was
seen and how to see it. They run all the same; a run fails if one passes, so
that no mended fault stays on the list.
"""

import collections.abc
import dataclasses
import pathlib
import unittest

FILE = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'


@dataclasses.dataclass(frozen=True)
class Verdict:
    """What a run says: ids that failed, entries passed over, ids mended."""

    failed: tuple[str, ...]
    known: tuple[str, ...]
    mended: tuple[str, ...]


def read(path=FILE):
    """Return the lines of the list by the id of their test."""
    if not path.exists():
        return {}
    lines = path.read_text(encoding='utf-8').splitlines()
    entries = [line for line in lines if line and not line.startswith('#')]
    return {entry.split()[0]: entry for entry in entries}


def tests(suite):
    """Yield every test of a suite, also those of suites in it."""
    for item in suite:
        if isinstance(item, collections.abc.Iterable):
            yield from tests(item)
        else:
            yield item


def verdict(ran, result: unittest.TestResult, entries: dict) -> Verdict:
    """Judge a run: each test counts once, however many parts of it fail."""
    broken = [test for test, _ in result.failures + result.errors]
    broken += result.unexpectedSuccesses
    failed = dict.fromkeys(getattr(x, 'test_case', x).id() for x in broken)
    listed = [test.id() for test in ran if test.id() in entries]
    return Verdict(
        failed=tuple(name for name in failed if name not in entries),
        known=tuple(entries[name] for name in listed if name in failed),
        mended=tuple(name for name in listed if name not in failed),
    )
