"""Tests that verdicts on changes depend on the log alone."""

import unittest

from berylhollow import configuration
from berylhollow import errors
from berylhollow import manifest
from berylhollow import messages
from test import configuration_builders as builders

Outcome = configuration.Outcome


def fold_all(records, state=configuration.INITIAL):
    """Fold records after a state; return the new state and the verdicts."""
    verdicts = []
    for data in records:
        entry = messages.LogEntry(state.next_offset, 0, data)
        state, verdict = configuration.fold(state, entry)
        verdicts.append(verdict)
    return state, verdicts


class AcceptanceTest(unittest.TestCase):
    def test_first_of_two_concurrent_changes_is_accepted(self):
        """Two operators publish at once, both based on revision 1.

        The log orders them. An implementation that applies both, or the later
        one by its clock, silently loses the change of one operator.
        """
        state, verdicts = fold_all(
            [
                builders.whole(),
                builders.change(1, 'first', builders.put('a1', versions='2')),
                builders.change(1, 'second', builders.put('a1', versions='3')),
            ]
        )
        outcomes = [verdict.outcome for verdict in verdicts]
        self.assertEqual(
            outcomes, [Outcome.ACCEPTED, Outcome.ACCEPTED, Outcome.CONFLICT]
        )
        self.assertEqual(verdicts[2].winner.change_id, 'first')
        self.assertEqual(verdicts[2].winner.revision, 2)
        self.assertEqual(state.configuration.revision, 2)
        self.assertTrue(
            state.configuration.servable(messages.AdapterVersion('a1', '2'))
        )

    def test_a_record_duplicated_by_a_retry_is_applied_once(self):
        """The answer to an append is lost and the operator's tool retries.

        The log holds both copies. The base revision of the second is no
        longer in force, and its verdict names the first as the winner.
        """
        again = builders.change(1, 'same', builders.put('a2'))
        state, verdicts = fold_all([builders.whole(), again, again])
        self.assertIs(verdicts[2].outcome, Outcome.CONFLICT)
        self.assertEqual(verdicts[2].winner.change_id, 'same')
        self.assertEqual(state.configuration.revision, 2)

    def test_an_invalid_change_keeps_the_revision(self):
        cases = {
            'unknown service': [builders.put('b1', service='nowhere')],
            'service in use': [builders.remove_service()],
            'not declared': [builders.remove('nobody')],
            'bad version': [builders.put('b1', versions=('@',))],
        }
        for name, deltas in cases.items():
            with self.subTest(name):
                state, verdicts = fold_all(
                    [builders.whole(), builders.change(1, 'c', *deltas)]
                )
                self.assertIs(verdicts[1].outcome, Outcome.INVALID)
                self.assertTrue(verdicts[1].faults)
                self.assertEqual(state.configuration.revision, 1)
                self.assertEqual(state.next_offset, 2)

    def test_a_malformed_record_is_skipped(self):
        valid = builders.change(1, 'c', builders.put('a2'))
        for junk in (b'', b'junk', valid[:6], valid[:-1], valid + b'x'):
            with self.subTest(junk=junk):
                state, verdicts = fold_all([builders.whole(), junk, valid])
                self.assertIs(verdicts[1].outcome, Outcome.NO_RECORD)
                self.assertIs(verdicts[2].outcome, Outcome.ACCEPTED)
                self.assertEqual(state.next_offset, 3)

    def test_an_unknown_rule_stops_the_fold_before_it(self):
        """Newer software publishes a change under an unsupported rule.

        If older software skipped the record, it could evaluate the next
        changes differently from newer software, and would then serve a
        configuration that nobody published.
        """
        newer = builders.with_rule(
            builders.change(1, 'new', builders.put('a2')), 2
        )
        state, verdicts = fold_all([builders.whole(), newer])
        self.assertIs(verdicts[1].outcome, Outcome.UNKNOWN_RULE)
        self.assertEqual(state.next_offset, 1)
        self.assertEqual(state.configuration.revision, 1)

    def test_an_entry_out_of_order_raises_value_error(self):
        with self.assertRaises(ValueError):
            configuration.fold(
                configuration.INITIAL,
                messages.LogEntry(1, 0, builders.whole()),
            )

    def test_the_verdicts_of_rule_1_are_frozen(self):
        """Later software versions must accept what this one accepts.

        If this digest changes, rule 1 has changed: processes of the two
        versions would serve different configurations. Add a new rule instead.
        """
        state, verdicts = fold_all(builders.rule_1_records())
        self.assertEqual(
            [verdict.outcome for verdict in verdicts],
            [
                Outcome.ACCEPTED,
                Outcome.ACCEPTED,
                Outcome.ACCEPTED,
                Outcome.CONFLICT,
                Outcome.INVALID,
                Outcome.NO_RECORD,
            ],
        )
        self.assertEqual(state.digest.hex(), builders.RULE_1_DIGEST)


class SnapshotTest(unittest.TestCase):
    def test_folding_from_a_snapshot_gives_the_same_state(self):
        records = builders.rule_1_records()
        whole, _ = fold_all(records)
        half, _ = fold_all(records[:2])
        resumed = configuration.from_snapshot(half.snapshot())
        self.assertEqual(resumed, half)
        resumed, _ = fold_all(records[2:], resumed)
        self.assertEqual(resumed, whole)

    def test_two_processes_write_the_same_snapshot(self):
        one, _ = fold_all(builders.rule_1_records())
        other, _ = fold_all(builders.rule_1_records())
        self.assertEqual(one.snapshot(), other.snapshot())

    def test_a_snapshot_of_newer_software_is_distinguished_from_junk(self):
        state, _ = fold_all([builders.whole()])
        with self.assertRaises(configuration.UnknownRule):
            configuration.from_snapshot(
                builders.with_rule(state.snapshot(), 2)
            )
        for junk in (b'', state.snapshot()[:-1], builders.whole()):
            with self.assertRaises(configuration.MalformedRecord):
                configuration.from_snapshot(junk)


class LookUpTest(unittest.TestCase):
    def setUp(self):
        state, _ = fold_all([builders.whole()])
        self.configuration = state.configuration

    def request_error(self, service, adapter=None, version='1'):
        named = adapter and messages.AdapterVersion(adapter, version)
        return self.configuration.request_error(service, named)

    def test_undeclared_services_adapters_and_versions_are_refused(self):
        kinds = errors.Kind
        self.assertIsNone(self.request_error('vaxel-ai', 'a1'))
        self.assertIsNone(self.request_error('', 'a1'))
        self.assertIsNone(self.request_error('medlem-register'))
        self.assertIs(self.request_error('x'), kinds.UNKNOWN_SERVICE)
        self.assertIs(self.request_error('vaxel-ai'), kinds.UNKNOWN_ADAPTER)
        self.assertIs(self.request_error('', 'b'), kinds.UNKNOWN_ADAPTER)
        self.assertIs(
            self.request_error('medlem-register', 'a1'), kinds.UNKNOWN_ADAPTER
        )
        self.assertIs(self.request_error('', 'a1', '9'), kinds.UNKNOWN_VERSION)
        self.assertIs(
            self.request_error('', 'a1', 'off'), kinds.UNKNOWN_VERSION
        )

    def test_difference_turns_one_manifest_into_another(self):
        wanted = manifest.Manifest(
            services=(manifest.Service('other', base_model='base'),),
            adapters=(builders.adapter('a2', service='other'),),
            callers=(manifest.Caller('console'),),
        )
        deltas = configuration.difference(self.configuration, wanted)
        change = configuration.Change(1, 'op', 'c', deltas)
        after, faults = configuration.apply(self.configuration, change, 2)
        self.assertEqual(faults, [])
        self.assertEqual(after.manifest(), wanted)
        self.assertEqual(configuration.difference(after, wanted), ())
