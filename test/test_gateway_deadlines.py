"""Tests of the time that a request has from the moment its head was read."""

import dataclasses

from berylhollow import clock
from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import gateway
from berylhollow import messages
from test import builders
from test import gateway_helper
from test import helper

BODY_MS = 2000
DEADLINE_MS = 10_000


@dataclasses.dataclass
class ShiftedClock:
    """The machine's clock, ahead by ``shift_ms``."""

    shift_ms: int = 0

    def now_ms(self) -> int:
        return clock.MonotonicClock().now_ms() + self.shift_ms


class DeadlineTest(helper.ReducerTestCase):
    def setUp(self):
        self.begin(gateway.reduce, builders.gateway_state())
        listed = (builders.instance('e1'),)
        self.feed(events.InstancesListed(0, listed))
        self.open_link('e1', events.Role.ENDPOINT)

    def send(self, begun_ms, at_ms, deadline_ms):
        request = builders.request(deadline_ms=deadline_ms)
        self.feed(
            events.RequestArrived(at_ms, request, 0.5, begun_ms=begun_ms)
        )

    def test_time_for_the_body_is_taken_off_the_deadline(self):
        """Guards against an endpoint that gets more time than is left."""
        self.send(1000, 1000 + BODY_MS, DEADLINE_MS)
        (offer,) = self.sent(messages.Offer)
        self.assertEqual(DEADLINE_MS - BODY_MS, offer.remaining_ms)

    def test_request_whose_body_took_all_its_time_is_refused(self):
        """Guards against an offer without any time left."""
        self.send(1000, 1000 + BODY_MS, BODY_MS)
        (answer,) = self.effects
        self.assertIsInstance(answer, effects.AnswerError)
        self.assertIs(errors.Kind.DEADLINE_EXCEEDED, answer.kind)
        self.assertIs(errors.Ran.NOT_RUN, answer.ran)


class SlowBodyTest(gateway_helper.GatewayTestCase):
    async def test_deadline_counts_from_the_head_of_the_request(self):
        """Guards against a deadline that starts anew after the body."""
        await self.begin()
        await self.add_sidecar()
        head, _, body = builders.http_post(
            '{"model": "a1@1"}',
            '/v1/completions',
            'Expect: 100-continue',
            f'X-Deadline-Ms: {DEADLINE_MS}',
        ).partition(b'\r\n\r\n')
        shifted = self.shell.time = self.shell.driver.time = ShiftedClock()
        reader, writer = await self.send_raw(head + b'\r\n\r\n')
        await reader.readuntil(b'\r\n\r\n')
        shifted.shift_ms = BODY_MS
        writer.write(body)
        offer = await self.sidecar.next(messages.Offer)
        self.assertLessEqual(offer.remaining_ms, DEADLINE_MS - BODY_MS)
