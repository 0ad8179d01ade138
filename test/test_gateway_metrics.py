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
        """Return the rendered lines of a metric; check for no rejections."""
        text = self.meters.render().decode()
        self.assertNotIn('berylhollow_metrics_rejected', text)
        return [
            line for line in text.splitlines() if line.startswith(f'{name}{{')
        ]

    async def test_duration_of_an_answer_is_recorded_once(self):
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

    async def test_error_is_counted_once_with_its_ran_state(self):
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

    async def test_log_line_of_a_refused_request_has_its_service(self):
        """Guards against outages that don't reduce the error budget.

        Every request for an adapter fails before its answer begins. The
        callers name no service; when the log line had only the service that
        a caller named, the report counted none of these requests.
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
        """Check that each field of a log line is documented."""
        page = (ROOT / 'docs' / 'reference' / 'logs.md').read_text()
        standard_fields = vars(logging.makeLogRecord({}))
        extra_fields = (
            vars(record).keys()
            - standard_fields.keys()
            - {'message', 'asctime'}
        )
        self.assertIn('request_id', extra_fields)
        for name in extra_fields:
            self.assertIn(f'`{name}`', page)

    async def test_undeclared_service_does_not_become_a_label(self):
        # Each label is a series: callers that make up names of services would
        # otherwise let the gateway's memory grow until it is killed.
        for number in range(3):
            path = f'/v1/services/made-up-{number}/x'
            self.assertEqual((await self.post(path=path))[0], 404)
        await self.until(lambda: not self.shell.in_flight)
        (line,) = self.lines('berylhollow_errors_total')
        self.assertIn('berylhollow_service=""', line)
        self.assertTrue(line.endswith(' 3.0'))
        (line,) = self.lines('http_server_request_duration_seconds_count')
        self.assertTrue(line.endswith(' 3.0'))

    async def test_frame_without_a_current_attempt_is_counted(self):
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

    def test_declared_service_is_returned(self):
        engine = configuration_builders.SERVICE
        plain_service = configuration_builders.PLAIN_SERVICE
        self.assertEqual(engine, self.service(service=''))
        self.assertEqual(
            plain_service,
            self.service(service=plain_service, adapter=None),
        )

    def test_undeclared_service_is_empty(self):
        unknown = builders.adapter('a9')
        self.assertEqual('', self.service(service='made-up'))
        self.assertEqual('', self.service(service='x', adapter=None))
        self.assertEqual('', self.service(service='', adapter=unknown))
        self.state.follower.current = None
        self.assertEqual('', self.service(service=''))
