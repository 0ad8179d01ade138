"""Tests of the report: records, objectives, burn rates and the page."""

import json
import unittest

from berylhollow import report
from berylhollow.report import _burn
from berylhollow.report import page

MINUTE_MS = 60_000


def log_line(minute=0, message='answered', **changes):
    fields = {
        'time': f'2026-12-02T10:{minute:02d}:00.000Z',
        'message': message,
        'caller': 'caller-1',
        'service': 'modelos',
        'adapter': 'a1',
        'kind': '',
        'ran': 'ran',
        'duration_ms': 1000,
        'first_byte_ms': 100,
        'deadline_ms': 30_000,
        'stalled_ms': 0,
        'parts': 40,
    }
    return json.dumps(fields | changes)


def find_burn(summary, name):
    (found,) = [x for x in summary.results if x.objective.name == name]
    return found.burn


class ReportTest(unittest.TestCase):
    def summarize(self, *lines):
        return report.summarize(report.parse_log(lines))

    def test_objectives_judge_answers(self):
        summary = self.summarize(
            log_line(),
            log_line(first_byte_ms=451),
            log_line(duration_ms=2000),
            log_line(stalled_ms=5000),
            log_line(duration_ms=31_000, parts=0),
        )
        bad = {x.objective.name: x.burn.bad for x in summary.results}
        expected = {
            'first_token': 1,
            'between_tokens': 1,
            'on_time': 1,
            'load_stall': 1,
        }
        self.assertEqual(expected, bad)

    def test_first_token_is_judged_only_where_it_can_be_seen(self):
        whole = {'parts': 0, 'first_byte_ms': 2000, 'duration_ms': 2000}
        failed = {'kind': 'overloaded', 'first_byte_ms': None, 'parts': 0}
        summary = self.summarize(
            log_line(**whole), log_line(**failed), log_line()
        )
        burn = find_burn(summary, 'first_token')
        self.assertEqual((1, 1), (burn.good, burn.bad))

    def test_caller_errors_do_not_use_the_budget(self):
        summary = self.summarize(
            log_line(),
            log_line(kind='unknown_adapter'),
            log_line(kind='overloaded'),
        )
        burn = find_burn(summary, 'on_time')
        self.assertEqual((1, 1), (burn.good, burn.bad))

    def test_lines_that_can_not_be_parsed_are_counted_as_skipped(self):
        records = report.parse_log(
            ['not json', '[]', '{"message": "answered"}', log_line(), '{}']
        )
        self.assertEqual((1, 4), (len(records.answers), records.skipped))

    def test_alert_needs_the_long_and_the_short_window(self):
        """Guards against alerts for a fault that has already ended.

        All answers fail for some minutes, then all succeed. The burn rate of
        the long window stays high. An alert on that window alone would still
        fire.
        """
        bad = [(minute * MINUTE_MS, False) for minute in range(30)]
        good = [(minute * MINUTE_MS, True) for minute in range(30, 60)]
        end_ms = 60 * MINUTE_MS
        during = _burn.compute_burn(bad, 0.05, 0, 29 * MINUTE_MS)
        after = _burn.compute_burn(bad + good, 0.05, 0, end_ms)
        self.assertTrue(during.windows[0].alert)
        self.assertFalse(after.windows[0].alert)
        self.assertGreater(after.windows[0].long_rate, 1)

    def test_budget_left_is_computed_from_the_answers_read(self):
        verdicts = [(number, number >= 5) for number in range(200)]
        burn = _burn.compute_burn(verdicts, 0.05, 0, 200)
        self.assertAlmostEqual(0.5, burn.budget_left)

    def test_revision_is_marked_once_however_many_processes_log_it(self):
        mark = log_line(message='configuration in force', revision=7)
        summary = self.summarize(log_line(), mark, mark)
        self.assertEqual(1, len(summary.marks))

    def test_page_is_self_contained(self):
        text = page.render(
            self.summarize(
                log_line(service='<b>x</b>'),
                log_line(5, message='engine restarted', epoch='e2'),
                log_line(9, first_byte_ms=900),
            )
        )
        self.assertIn('<svg', text)
        self.assertNotIn('<b>x</b>', text)
        self.assertNotIn('src=', text)
        self.assertNotIn('href="http', text)

    def test_an_outage_without_a_service_uses_a_budget(self):
        """Guards against an outage that the report does not show.

        Gateways without a configuration don't know the service of a request.
        Answers without a service were left out, so no objective was missed.
        """
        outage = log_line(service='', kind='configuration_unavailable')
        summary = self.summarize(log_line(), outage)
        bad = [
            x.service
            for x in summary.results
            if x.objective.name == 'on_time' and x.burn.bad
        ]
        self.assertEqual(['not known'], bad)

    def test_page_lists_alerts_and_what_happened(self):
        text = page.render(
            self.summarize(
                log_line(kind='overloaded'),
                log_line(
                    5, message='engine restarted', epoch='e2', instance='i7'
                ),
            )
        )
        self.assertIn('whole answer by its deadline</td><td>page</td>', text)
        self.assertIn('logs are shorter', text)
        self.assertIn('<td>i7</td><td>a1 e2</td>', text)
        self.assertIn('none: 10000% used', text)

    def test_figures_are_json(self):
        document = json.loads(report.to_json(self.summarize(log_line())))
        self.assertEqual(1, document['answers'])
        self.assertEqual(4, len(document['objectives']))

    def test_no_answer_is_an_error(self):
        with self.assertRaises(ValueError):
            self.summarize('{}')
