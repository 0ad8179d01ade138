"""Exceptions in the shell of a gateway fail one request, not the process."""

import unittest.mock

from berylhollow.gateway import _exchange
from berylhollow.gateway import _relay
from test import gateway_helper

METRIC = 'berylhollow.request_exceptions'
DEFECT = ValueError('a defect')


class EffectExceptionTest(gateway_helper.GatewayTestCase):
    async def assert_next_request_is_answered(self):
        answer = self.post()
        attempt = await self.sidecar.offered()
        self.sidecar.start(attempt)
        self.sidecar.answer(attempt, b'whole')
        self.sidecar.end(attempt, 1)
        status, _, body = await answer
        self.assertEqual((200, b'whole'), (status, body))
        self.assertFalse(self.shell.driver.failed.done())
        self.assertFalse(self.shell.ended.done())
        await self.until(lambda: not self.shell.driver.state.requests)

    async def test_answer_that_cannot_begin_ends_no_gateway(self):
        """Guards against a head that ends the gateway of all its callers."""
        await self.begin()
        await self.add_sidecar()
        with unittest.mock.patch.object(
            _exchange.Exchange, 'begin', autospec=True, side_effect=DEFECT
        ):
            answer = self.post()
            attempt = await self.sidecar.offered()
            self.sidecar.start(attempt)
            await self.assert_problem(answer, 500, 'internal', 'unknown')
        self.assertEqual(1, self.counted.count(METRIC))
        await self.assert_next_request_is_answered()

    async def test_answer_that_cannot_end_ends_no_gateway(self):
        """Guards against an end that ends the gateway of all its callers."""
        await self.begin()
        await self.add_sidecar()
        with unittest.mock.patch.object(
            _relay.Relay, 'finish', autospec=True, side_effect=DEFECT
        ):
            answer = self.post()
            attempt = await self.sidecar.offered()
            self.sidecar.start(attempt)
            self.sidecar.answer(attempt, b'whole')
            self.sidecar.end(attempt, 1)
            with self.assertRaises(gateway_helper.aiohttp.ClientError):
                await answer
        self.assertEqual(1, self.counted.count(METRIC))
        await self.assert_next_request_is_answered()
