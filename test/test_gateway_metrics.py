"""Tests of the metrics of a gateway, over real HTTP."""

import logging
import pathlib
import unittest

from berylhollow import configuration
from berylhollow import errors
from berylhollow.gateway import _pages
from berylhollow import messages
from berylhollow import metrics
from test import builders
from test import configuration_builders
from test import gateway_helper

ROOT = pathlib.Path(__file__).parents[1]


class GatewayMetricsTest(gateway_helper.GatewayTestCase):
    async def asyncSetUp(self):
        await self.begin()
        await self.add_sidecar()
        self.meters = metrics.Meters('gateway', 'g1', 'sul-a')
        self.shell.count = self.meters.add
        self.service = f'berylhollow_service="{builders.SERVICE}"'

    def lines(self, name):
        """Return what is given out of one metric; nothing was rejected."""
        text = self.meters.render().decode()
        self.assertNotIn('berylhollow_metrics_rejected', text)
        return [
            line for line in text.splitlines() if line.startswith(f'{name}{{')
        ]

    async def test_answer_is_timed_once(self):
        answer = self.post()
        attempt_id = await self.sidecar.offered()
        self.sidecar.start(attempt_id)
        self.sidecar.answer(attempt_id, b'whole')
        self.sidecar.end(attempt_id, 1)
        self.assertEqual((await answer)[0], 200)
        await self.until(lambda: not self.shell.in_flight)
        (line,) = self.lines('http_server_request_duration_seconds_count')
        self.assertIn('http_response_status_code="200"', line)
        self.assertIn(self.service, line)
        self.assertTrue(line.endswith(' 1.0'))
        first = 'berylhollow_first_token_duration_seconds_count'
        self.assertEqual(self.lines(first), [f'{first}{{{self.service}}} 1.0'])

    async def test_error_is_counted_once_with_whether_it_ran(self):
        answer = self.post()
        attempt_id = await self.sidecar.offered()
        self.sidecar.send(
            messages.Failed(
                attempt_id, errors.Kind.WRONG_ADAPTER, errors.Ran.RAN
            )
        )
        self.assertEqual((await answer)[0], 502)
        await self.until(lambda: not self.shell.in_flight)
        (line,) = self.lines('berylhollow_errors_total')
        self.assertIn('berylhollow_ran="ran"', line)
        self.assertIn('error_type="wrong_adapter"', line)
        self.assertTrue(line.endswith(' 1.0'))

    async def test_line_of_a_refusal_names_the_service(self):
        """An outage leaves the error budget of its service whole.

        Every request for an adapter fails before its answer begins, and the
        report counts none of them. Cause: the caller names no service, and
        the log line of a refusal had only what the caller named.
        """
        with self.assertLogs('berylhollow.gateway._exchange') as logs:
            answer = self.post()
            attempt_id = await self.sidecar.offered()
            self.sidecar.send(
                messages.Failed(
                    attempt_id, errors.Kind.WRONG_ADAPTER, errors.Ran.RAN
                )
            )
            await answer
            await self.until(lambda: not self.shell.in_flight)
        (record,) = logs.records
        self.assertEqual('wrong_adapter', record.kind)
        self.assertEqual(builders.SERVICE, record.service)
        self.assert_documented(record)

    def assert_documented(self, record):
        """Check that the reference has each field of a log line."""
        page = (ROOT / 'docs' / 'reference' / 'logs.md').read_text()
        plain = vars(logging.makeLogRecord({}))
        given = vars(record).keys() - plain.keys() - {'message', 'asctime'}
        self.assertIn('request_id', given)
        for name in given:
            self.assertIn(f'`{name}`', page)

    async def test_made_up_service_is_no_label(self):
        # A gateway grows until it is killed: a caller asks for services
        # under names that it makes up, and each becomes a series.
        for number in range(3):
            path = f'/v1/services/made-up-{number}/x'
            self.assertEqual((await self.post(path=path))[0], 404)
        await self.until(lambda: not self.shell.in_flight)
        (line,) = self.lines('berylhollow_errors_total')
        self.assertIn('berylhollow_service=""', line)
        self.assertTrue(line.endswith(' 3.0'))
        (line,) = self.lines('http_server_request_duration_seconds_count')
        self.assertTrue(line.endswith(' 3.0'))

    async def test_frame_of_no_attempt_is_counted(self):
        self.sidecar.answer('r0.1', b'late')
        await self.until(lambda: self.late_frames())

    def late_frames(self):
        return 'berylhollow_late_frames_total 1.0' in (
            self.meters.render().decode()
        )


class DeclaredServiceTest(unittest.TestCase):
    def setUp(self):
        self.state = builders.gateway_state()
        declared = configuration_builders.declared('a1')
        current = configuration.from_manifest(declared, 1)
        self.state.follower.current = current

    def service(self, **changes):
        request = builders.request(**changes)
        return _pages.declared_service(self.state, request)

    def test_service_of_what_is_declared(self):
        engine = configuration_builders.SERVICE
        plain = configuration_builders.PLAIN_SERVICE
        self.assertEqual(engine, self.service(service=''))
        self.assertEqual(plain, self.service(service=plain, adapter=None))

    def test_nothing_of_what_is_not(self):
        unknown = builders.adapter('a9')
        self.assertEqual('', self.service(service='made-up'))
        self.assertEqual('', self.service(service='x', adapter=None))
        self.assertEqual('', self.service(service='', adapter=unknown))
        self.state.follower.current = None
        self.assertEqual('', self.service(service=''))
