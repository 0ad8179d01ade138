"""Tests of the metrics of a gateway, over real HTTP."""

from berylhollow import errors
from berylhollow import messages
from berylhollow import metrics
from test import builders
from test import gateway_helper


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

    async def test_frame_of_no_attempt_is_counted(self):
        self.sidecar.answer('r0.1', b'late')
        await self.until(lambda: self.late_frames())

    def late_frames(self):
        return 'berylhollow_late_frames_total 1.0' in (
            self.meters.render().decode()
        )
