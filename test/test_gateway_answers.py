"""Tests of relayed answers, complete and broken ones."""

import asyncio
import json
from unittest import mock

import aiohttp
from aiohttp import web

from berylhollow import events
from berylhollow import messages
from test import builders
from test import gateway_helper

SSE = {'Content_Type': 'text/event-stream'}


class AnswerTest(gateway_helper.GatewayTestCase):
    async def asyncSetUp(self):
        await self.begin()
        await self.add_sidecar()

    async def test_stream_is_relayed_completely_and_acknowledged(self):
        answer = self.post(X_Request_Id='mine')
        attempt_id = await self.sidecar.offered()
        self.sidecar.start(attempt_id, **SSE)
        self.sidecar.answer(attempt_id, b'data: 1\n\n', b'data: 2\n\n')
        self.sidecar.end(attempt_id, 2)
        status, headers, body = await answer
        self.assertEqual((200, b'data: 1\n\ndata: 2\n\n'), (status, body))
        self.assertEqual('text/event-stream', headers['Content-Type'])
        self.assertEqual('mine', headers['X-Request-Id'])
        acknowledged = await self.sidecar.next(messages.Acknowledge)
        self.assertEqual(3, acknowledged.next_sequence)
        self.assertEqual({}, self.shell.driver.state.requests)
        self.assertEqual(({}, {}), (self.shell.relays, self.shell.exchanges))

    async def test_offer_contains_the_callers_request(self):
        body = b'{"model": "a1@1",\n "max_tokens": 7, "prompt": "12345"}'
        answer = self.post(
            body,
            X_Caller='firm-7',
            X_Priority='9',
            X_Deadline_Ms='5000',
            X_Own='kept',
        )
        offer = await self.sidecar.next(messages.Offer)
        self.assertEqual(body, offer.body)
        self.assertEqual(builders.adapter(), offer.adapter)
        self.assertEqual(('firm-7', 9), (offer.caller, offer.priority))
        self.assertEqual((2, 7), (offer.prompt_tokens, offer.output_tokens))
        self.assertTrue(4000 < offer.remaining_ms <= 5000)
        names = {header.name.lower() for header in offer.headers}
        self.assertIn('x-own', names)
        self.assertTrue(names.isdisjoint({'host', 'x-caller', 'connection'}))
        self.sidecar.start(offer.attempt_id, Content_Length='2')
        self.sidecar.answer(offer.attempt_id, b'ok')
        self.sidecar.end(offer.attempt_id, 1)
        status, headers, body = await answer
        self.assertEqual((200, b'ok'), (status, body))
        self.assertEqual('2', headers['Content-Length'])

    async def test_two_callers_with_one_request_id_get_their_own(self):
        """Guards against answers that go to the wrong caller.

        Two callers send the same request id at the same time. If the id in
        the header identified the request, the first answer would go to the
        second caller.
        """
        answers = []
        for number in range(2):
            answers.append(self.post({'n': number}, X_Request_Id='1'))
            attempt_id = await self.sidecar.offered()
            self.sidecar.start(attempt_id)
            self.sidecar.answer(attempt_id, b'answer %d' % number)
            self.sidecar.end(attempt_id, 1)
        bodies = [(await answer)[2] for answer in answers]
        self.assertEqual([b'answer 0', b'answer 1'], bodies)

    async def test_late_frames_are_dropped_and_counted(self):
        answer = self.post()
        attempt_id = await self.sidecar.offered()
        self.sidecar.start(attempt_id)
        self.sidecar.answer('another.1', b'not yours')
        self.sidecar.answer(attempt_id, b'yours')
        self.sidecar.end(attempt_id, 1)
        self.assertEqual(b'yours', (await answer)[2])
        self.assertEqual(1, self.counted.count('berylhollow.late_frames'))

    async def test_failed_stream_aborts_the_connection(self):
        """Guards against truncated answers that look complete.

        The engine dies in the middle of a stream. If the failed attempt
        ended like a finished one, the gateway would close the answer cleanly.
        """
        answer = self.post()
        attempt_id = await self.sidecar.offered()
        self.sidecar.start(attempt_id, **SSE)
        self.sidecar.answer(attempt_id, b'data: half')
        self.sidecar.send(builders.failed(attempt_id))
        with self.assertRaises(aiohttp.ClientPayloadError):
            await answer

    async def test_error_event_is_sent_before_the_connection_is_aborted(self):
        reader, _ = await self.send_raw(
            builders.http_post('{"model": "a1@1"}')
        )
        attempt_id = await self.sidecar.offered()
        self.sidecar.start(attempt_id, **SSE)
        self.sidecar.answer(attempt_id, b'data: half')
        self.sidecar.send(builders.failed(attempt_id))
        sent = await self.read_until_cut(reader)
        self.assertFalse(sent.endswith(b'0\r\n\r\n'))
        _, _, event = sent.partition(b'event: error\ndata: ')
        error = json.loads(event.partition(b'\n')[0])['error']
        self.assertEqual('endpoint_failed', error['kind'])
        self.assertEqual('unknown', error['ran'])

    async def test_failed_stream_with_all_its_length_looks_incomplete(self):
        """Guards against truncated streams that look complete.

        A process before the engine declares the length of what it has, and
        the stream turns out to end inside an event after all of it was sent.
        """
        answer = self.post()
        attempt_id = await self.sidecar.offered()
        self.sidecar.start(attempt_id, Content_Length='10', **SSE)
        self.sidecar.answer(attempt_id, b'data: half')
        self.sidecar.send(builders.failed(attempt_id))
        with self.assertRaises(aiohttp.ClientPayloadError):
            await answer

    async def test_stream_shorter_than_its_length_looks_incomplete(self):
        answer = self.post()
        attempt_id = await self.sidecar.offered()
        self.sidecar.start(attempt_id, Content_Length='30', **SSE)
        self.sidecar.answer(attempt_id, b'data: a\n\n')
        self.sidecar.end(attempt_id, 1)
        with self.assertRaises(aiohttp.ClientPayloadError):
            await answer

    async def test_failed_body_aborts_the_connection(self):
        reader, _ = await self.send_raw(
            builders.http_post('{"model": "a1@1"}')
        )
        attempt_id = await self.sidecar.offered()
        self.sidecar.start(attempt_id, Content_Type='application/json')
        self.sidecar.answer(attempt_id, b'{"half": ')
        self.sidecar.send(builders.failed(attempt_id))
        sent = await self.read_until_cut(reader)
        self.assertTrue(sent.endswith(b'{"half": \r\n'), sent)

    async def test_body_shorter_than_its_length_aborts_the_connection(self):
        answer = self.post()
        attempt_id = await self.sidecar.offered()
        self.sidecar.start(attempt_id, Content_Length='9')
        self.sidecar.answer(attempt_id, b'short')
        self.sidecar.end(attempt_id, 1)
        with self.assertRaises(aiohttp.ClientPayloadError):
            await answer
        self.assertEqual({}, self.shell.driver.state.requests)

    async def read_until_cut(self, reader):
        sent = b''
        try:
            while data := await reader.read(1000):
                sent += data
        except ConnectionError:
            pass
        return sent

    async def test_failure_before_the_head_returns_problem_details(self):
        answer = self.post()
        attempt_id = await self.sidecar.offered()
        self.sidecar.send(builders.failed(attempt_id, retry_after_ms=1500))
        headers, problem = await self.assert_problem(
            answer, 502, 'endpoint_failed', 'unknown'
        )
        self.assertEqual('2', headers['Retry-After'])
        self.assertEqual('if_idempotent', problem['retry'])

    async def test_answer_continues_after_a_broken_link(self):
        """Guards against answers that stop when a link reconnects.

        The link breaks after the first frame, and the sidecar continues with
        the third one on the new link before it learns which frames arrived.
        The gateway must request the missing frames; it took the gap for a
        broken answer.
        """
        answer = self.post()
        attempt_id = await self.sidecar.offered()
        self.sidecar.start(attempt_id)
        self.sidecar.answer(attempt_id, b'one ')
        await self.until(lambda: attempt_id in self.shell.relays)
        relay = self.shell.relays[attempt_id]
        await self.until(lambda: relay.receiver.next_sequence == 1)
        self.sidecar.links[-1].abort(gateway_helper.links.Reason.LOST)
        await self.until(lambda: len(self.sidecar.links) == 2)
        self.sidecar.answer(attempt_id, b'three', first=2)
        self.sidecar.end(attempt_id, 3)
        resume = await self.sidecar.next(messages.Resume)
        self.assertEqual(1, resume.next_sequence)
        self.sidecar.answer(attempt_id, b'two ', b'three', first=1)
        self.sidecar.end(attempt_id, 3)
        self.assertEqual(b'one two three', (await answer)[2])

    async def test_caller_that_leaves_cancels_its_attempt(self):
        _, writer = await self.send_raw(
            builders.http_post('{"model": "a1@1"}')
        )
        attempt_id = await self.sidecar.offered()
        writer.close()
        cancelled = await self.sidecar.next(messages.Cancel)
        self.assertEqual(attempt_id, cancelled.attempt_id)

    async def test_services_accept_any_method_and_answers_without_body(self):
        await self.add_sidecar('p1', builders.PLAIN_SERVICE)
        path = f'/v1/services/{builders.PLAIN_SERVICE}/ports/7%2F8?x=1'
        answer = asyncio.create_task(self.session.request('DELETE', path))
        offer = await self.sidecar.next(messages.Offer)
        self.assertEqual('DELETE', offer.method)
        self.assertEqual('/ports/7%2F8?x=1', offer.path)
        self.assertIsNone(offer.adapter)
        self.sidecar.start(offer.attempt_id, status=204)
        self.sidecar.end(offer.attempt_id, 0)
        self.assertEqual(204, (await answer).status)

    async def test_head_that_can_not_be_written_closes_the_connection(self):
        """Guards against a request or connection that is left open.

        The HTTP library raises while it writes the head of an answer.
        """
        reader, _ = await self.send_raw(
            builders.http_post('{"model": "a1@1"}')
        )
        attempt_id = await self.sidecar.offered()
        refuses = mock.patch.object(
            web.StreamResponse,
            'prepare',
            autospec=True,
            side_effect=ValueError,
        )
        with self.assertLogs('berylhollow', 'ERROR'), refuses:
            self.sidecar.start(attempt_id, X_A='1')
            self.assertEqual(b'', await self.read_until_cut(reader))
        cancelled = await self.sidecar.next(messages.Cancel)
        self.assertEqual(attempt_id, cancelled.attempt_id)
        self.assertEqual({}, self.shell.driver.state.requests)

    async def test_line_break_in_a_header_reaches_no_caller(self):
        """Guards against header injection by an endpoint's answer."""
        reader, _ = await self.send_raw(
            builders.http_post('{"model": "a1@1"}')
        )
        attempt_id = await self.sidecar.offered()
        self.sidecar.start(attempt_id, X_A='1\r\nX-B: 2')
        head = await reader.readuntil(b'\r\n\r\n')
        self.assertIn(b' 502 ', head.partition(b'\r\n')[0])
        self.assertNotIn(b'X-', head.replace(b'X-Request-Id', b''))
        cancelled = await self.sidecar.next(messages.Cancel)
        self.assertEqual(attempt_id, cancelled.attempt_id)
        self.assertEqual({}, self.shell.driver.state.requests)


class SlowCallerTest(gateway_helper.GatewayTestCase):
    async def test_caller_that_stops_reading_delays_only_itself(self):
        """Guards against a gateway that runs out of memory.

        One caller stops reading a long answer. If frames were acknowledged
        on arrival instead of when the caller takes them, or if the caller
        could stall without limit, the gateway would buffer them all.
        """
        await self.begin(slow_client_timeout_ms=200)
        await self.add_sidecar()
        reader, writer = await self.send_raw(
            builders.http_post('{"model": "a1@1"}')
        )
        attempt_id = await self.sidecar.offered()
        self.sidecar.start(attempt_id)
        part = bytes(64 * 1024)
        unacknowledged, sent = 0, 0
        message = None
        while type(message) is not messages.Cancel:
            if unacknowledged < 8:
                self.sidecar.answer(attempt_id, part, first=sent)
                sent += 1
                unacknowledged += 1
            message = await self.next_message()
            if type(message) is messages.Acknowledge:
                unacknowledged = sent - message.next_sequence
        self.assertEqual({}, self.shell.relays)
        self.assertEqual({}, self.shell.driver.state.requests)

    async def next_message(self):
        try:
            async with asyncio.timeout(0.01):
                return await self.sidecar.received.get()
        except TimeoutError:
            return None


class AddressTest(gateway_helper.GatewayTestCase):
    async def test_other_instance_at_an_address_gets_no_requests(self):
        """Guards against requests that run at an endpoint of another service.

        An endpoint was replaced and its address now belongs to another one;
        the gateway's list is stale. The name that the peer authenticated
        with must win over the name in the list.
        """
        await self.begin()
        other = gateway_helper.FakeSidecar('e2')
        await other.server.start()
        self.addAsyncCleanup(other.server.stop)
        address = f'127.0.0.1:{other.server.port}'
        row = builders.instance('e1', address=address)
        self.shell.feed(events.InstancesListed(0, (row,)))
        await self.until(lambda: other.link_down_count)
        self.assertEqual({}, self.shell.links.open_links)
        await self.assert_problem(self.post(), 503, 'no_endpoint')
