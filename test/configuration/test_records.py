"""Tests that no record, however malformed, raises an error."""

import unittest
from unittest import mock
import zlib

import cbor2
import hypothesis
from hypothesis import strategies

from berylhollow import configuration
from berylhollow.configuration import _fold
from berylhollow import messages
from test import configuration_builders as builders

HEADER = builders.change(0)[: builders.RULE_AT + 2]
SNAPSHOT_HEADER = configuration.INITIAL.snapshot()[: builders.RULE_AT + 10]

# Placeholder for an integer that is too long for Python to print, as the
# message of a fault might.
HUGE_MARKER = 'a huge number'

scalars = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-4, 4),
    strategies.sampled_from((2**63, HUGE_MARKER)),
    strategies.floats(),
    strategies.sampled_from(('', 'a', 'engine', 'vaxel-ai', 'x' * 300)),
    strategies.binary(max_size=3),
)
values = strategies.recursive(
    scalars,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=9),
        strategies.dictionaries(strategies.just('k'), inner),
    ),
    max_leaves=12,
)
# Heads and entities that are nearly valid get past the first checks.
head = strategies.lists(scalars, min_size=5, max_size=5)
adapter = strategies.tuples(
    strategies.just(2),
    scalars,
    scalars,
    scalars,
    strategies.lists(strategies.lists(scalars, min_size=2, max_size=2)),
)
other = strategies.lists(scalars, min_size=2, max_size=9)
items = strategies.lists(strategies.one_of(adapter, other, values), max_size=3)


def body(*parts):
    return zlib.compress(
        b''.join(cbor2.dumps(with_huge_numbers(part)) for part in parts)
    )


def with_huge_numbers(value):
    """Return the value with each placeholder replaced by a huge number."""
    if isinstance(value, list | tuple):
        return [with_huge_numbers(item) for item in value]
    return 10**5000 if value == HUGE_MARKER else value


def deterministic(limit=150):
    return hypothesis.settings(
        derandomize=True, deadline=None, max_examples=limit, database=None
    )


class RecordTest(unittest.TestCase):
    """A record that raises an error would end every process that reads it.

    Each process would read it again after a restart, so that one bad record
    would keep the whole deployment down.
    """

    def fold_one(self, data):
        entry = messages.LogEntry(0, 0, data)
        state, verdict = configuration.fold(configuration.INITIAL, entry)
        self.assertIsInstance(verdict.outcome, configuration.Outcome)
        return state, verdict

    @deterministic()
    @hypothesis.given(strategies.one_of(head, values), items)
    def test_any_structure_gets_a_verdict(self, first, rest):
        self.fold_one(HEADER + body(first, *rest))

    @deterministic()
    @hypothesis.given(items)
    def test_any_delta_gets_a_verdict(self, rest):
        count = len(rest)
        self.fold_one(HEADER + body([count, 0, 'op', 'c', False], *rest))
        self.fold_one(HEADER + body([count, 0, 'op', 'c', True], *rest))

    @deterministic()
    @hypothesis.given(strategies.binary(max_size=40), strategies.integers(0))
    def test_any_bytes_get_a_verdict(self, junk, position):
        valid = builders.whole()
        position %= len(valid)
        self.fold_one(junk)
        self.fold_one(HEADER + junk)
        self.fold_one(HEADER + zlib.compress(junk))
        self.fold_one(valid[:position] + junk + valid[position + len(junk) :])

    @deterministic()
    @hypothesis.given(strategies.one_of(head, values), items)
    def test_any_snapshot_is_installed_or_ignored(self, first, rest):
        history = configuration.History()
        data = SNAPSHOT_HEADER[:-1] + b'\x05' + body(first, *rest)
        self.assertIn(history.install(data), (True, False))

    def test_huge_numbers_get_a_verdict_in_any_field(self):
        entities = (
            [1, 's', 'engine', 'b', False, 1.0, 1.0, 7, 1.5],
            [2, 'a', 's', 3, [['1', True]]],
            [3, 'c', 1.0, 7, 1.5],
            [-2, 'a'],
        )
        for entity in entities:
            for position in range(len(entity)):
                huge = [
                    *entity[:position],
                    HUGE_MARKER,
                    *entity[position + 1 :],
                ]
                self.fold_one(HEADER + body([1, 0, 'op', 'c', False], huge))
        for position in range(5):
            first = [0, 0, 'op', 'c', False]
            first[position] = HUGE_MARKER
            self.fold_one(HEADER + body(first))

    def test_a_defect_in_the_fold_stops_it_without_an_error(self):
        history = configuration.History()
        entry = messages.LogEntry(0, 0, builders.whole())
        defect = mock.Mock(side_effect=KeyError('x'))
        with mock.patch.object(_fold, 'fold', defect):
            with self.assertLogs('berylhollow.configuration'):
                self.assertEqual(history.add((entry,)), ())
            self.assertEqual(history.add((entry,)), ())
        self.assertEqual(defect.call_count, 1)
        self.assertIn('offset 0', history.stopped)
        self.assertEqual(history.state, configuration.INITIAL)

    def test_a_body_that_decompresses_to_too_much_is_malformed(self):
        bomb = zlib.compress(bytes(64 * 1024 * 1024))
        _, verdict = self.fold_one(HEADER + bomb)
        self.assertIs(verdict.outcome, configuration.Outcome.NO_RECORD)

    def test_a_valid_change_from_these_builders_is_accepted(self):
        """Otherwise the tests above might never get past the header."""
        service = [1, 's', 'engine', 'b', False, 1.0, 1.0, None, None]
        entity = [2, 'a', 's', 3, [['1', True]]]
        _, verdict = self.fold_one(
            HEADER + body([2, 0, 'op', 'c', True], service, entity)
        )
        self.assertIs(verdict.outcome, configuration.Outcome.ACCEPTED)
