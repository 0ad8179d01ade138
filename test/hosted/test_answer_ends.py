"""Tests of what shows that an endpoint has outlived its answer.

All answers here have neither a length nor chunks.
"""

import asyncio
import os
import socket
import time
import types
import unittest

from berylhollow import errors
from berylhollow import liveness
from berylhollow import messages
from test import event_streams
from test.hosted import direct_helper

ANSWER = event_streams.answers(event_streams.EVENT)['no length']
SURPLUS = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
PAUSE_S = 0.05


class AnswerEndTest(direct_helper.DirectTestCase):
    RETRY_S = liveness.RETRY_MS / liveness.MS_PER_SECOND

    async def begin_answer(self, endpoint, number=1):
        """Return once the endpoint has sent its answer, but for the end."""
        self.raw = endpoint
        if endpoint.server is None:
            await self.listen(endpoint)
        self.send_offer(number=number)
        told = [await self.next_message() for _ in range(2)]
        self.assertNotIn(messages.End, map(type, told))

    def end_answers(self, endpoint):
        """Close the connections that carry answers, as a process does."""
        for writer in endpoint.answering:
            writer.close()

    async def assert_served(self):
        outcome = (await self.messages_to_end())[-1]
        self.assertIsInstance(outcome, messages.End)

    async def assert_broken_off(self):
        outcome = (await self.messages_to_end())[-1]
        self.assertIsInstance(outcome, messages.Failed)
        self.assertIs(errors.Kind.STREAM_BROKEN, outcome.kind)

    async def test_endpoint_that_answers_no_check_is_not_known_to_live(self):
        """Guards against silence that is taken for a sign of life."""
        endpoint = direct_helper.RawEndpoint(ANSWER, closes=False)
        endpoint.mute = True
        await self.begin_answer(endpoint)
        self.end_answers(endpoint)
        await self.assert_broken_off()
        ((name, attributes),) = self.counts
        self.assertEqual('berylhollow.unframed_answers', name)
        self.assertEqual('unanswered', attributes['berylhollow.evidence'])

    async def test_inherited_port_does_not_show_that_a_process_lives(self):
        """Guards against a listening socket that outlives the process.

        A supervisor holds it and starts the next process with it.
        """
        endpoint = direct_helper.RawEndpoint(ANSWER, closes=False)
        await self.begin_answer(endpoint)
        listening = endpoint.server.sockets[0]
        inherited = socket.socket(fileno=os.dup(listening.fileno()))
        next_start = direct_helper.RawEndpoint(ANSWER)
        next_start.server = await asyncio.start_server(
            next_start.serve, sock=inherited
        )
        self.stack.callback(next_start.server.close)
        endpoint.end()
        await self.assert_broken_off()

    async def test_endpoint_that_closes_after_each_check_is_served(self):
        """Guards against whole answers lost where no connection is kept."""
        endpoint = direct_helper.RawEndpoint(ANSWER, closes=False)
        endpoint.keeps = False
        for number in range(3):
            await self.begin_answer(endpoint, number)
            self.end_answers(endpoint)
            await self.assert_served()

    async def test_answer_outlives_the_connection_for_checks(self):
        """Guards against whole answers lost to a closed idle connection."""
        endpoint = direct_helper.RawEndpoint(ANSWER, closes=False)
        await self.begin_answer(endpoint)
        async with asyncio.timeout(direct_helper.HANG_S):
            while len(endpoint.waiting) < liveness.USED_AT_ONCE:
                await asyncio.sleep(PAUSE_S)
            while not endpoint.checks:
                await asyncio.sleep(PAUSE_S)
        await asyncio.sleep(PAUSE_S)
        endpoint.waiting[0].close()
        await asyncio.sleep(PAUSE_S)
        self.end_answers(endpoint)
        await self.assert_served()

    async def test_connection_opened_after_the_end_shows_nothing(self):
        """Guards against a next start that is asked in place of the last."""
        endpoint = direct_helper.RawEndpoint(ANSWER, closes=False)
        await self.begin_answer(endpoint)
        for writer in endpoint.waiting:
            writer.close()
        self.end_answers(endpoint)
        await self.assert_broken_off()

    async def test_extra_response_is_no_answer_to_a_check(self):
        """Guards against bytes from before a crash, taken for a sign of life.

        They come on the connection for checks before one is sent.
        """
        endpoint = direct_helper.RawEndpoint(ANSWER, closes=False)
        await self.begin_answer(endpoint)
        (watch,) = self.runs.calls.watches.by_endpoint.values()
        self.assertTrue(await watch._check())
        endpoint.mute = True
        for writer in endpoint.waiting:
            writer.write(SURPLUS)
        await asyncio.sleep(PAUSE_S)
        self.end_answers(endpoint)
        await self.assert_broken_off()

    async def test_endpoint_that_resets_connections_is_not_asked_for_more(
        self,
    ):
        """Guards against a connection for checks with each request.

        An endpoint at its limit of connections resets those beyond it.
        """
        endpoint = direct_helper.RawEndpoint(ANSWER, closes=False)
        begun = time.monotonic()
        for number in range(50):
            await self.begin_answer(endpoint, number)
            for writer in endpoint.waiting:
                writer.transport.abort()
        retries = (time.monotonic() - begun) / self.RETRY_S
        opened = liveness.USED_AT_ONCE * (retries + 2)
        self.assertLessEqual(len(endpoint.waiting), opened)

    async def test_one_check_serves_answers_that_end_together(self):
        """Guards against a check for each of many answers."""
        endpoint = direct_helper.RawEndpoint(ANSWER, closes=False)
        for number in range(20):
            await self.begin_answer(endpoint, number)
        checks = endpoint.checks
        self.end_answers(endpoint)
        for _ in range(20):
            await self.assert_served()
        self.assertLessEqual(endpoint.checks - checks, 3)

    async def test_nothing_is_left_of_an_answer_that_has_ended(self):
        """Guards against checks that go on after the last answer."""
        endpoint = direct_helper.RawEndpoint(ANSWER, closes=False)
        await self.begin_answer(endpoint)
        self.end_answers(endpoint)
        await self.assert_served()
        await asyncio.sleep(PAUSE_S)
        (watch,) = self.runs.calls.watches.by_endpoint.values()
        self.assertEqual(set(), watch.observations)
        self.assertIsNone(watch.keeping)

    async def test_check_that_has_just_ended_is_not_awaited_again(self):
        """Guards against a gateway that spins after it was frozen.

        An answer ends in the same step of the event loop as a check that was
        sent before; whoever waits for that check again gets its result at
        once, without end.
        """
        endpoint = direct_helper.RawEndpoint(ANSWER, closes=False)
        await self.begin_answer(endpoint)
        (watch,) = self.runs.calls.watches.by_endpoint.values()
        ended = asyncio.create_task(asyncio.sleep(0, True))
        await ended
        watch.checking = ended
        self.assertIsNot(ended, watch._begin_check())
        self.end_answers(endpoint)
        await self.assert_served()

    async def test_cancelled_answer_leaves_the_check_to_the_others(self):
        """Guards against whole answers lost as another caller leaves."""
        endpoint = direct_helper.RawEndpoint(ANSWER, closes=False)
        endpoint.check_pause_s = PAUSE_S
        for number in range(2):
            await self.begin_answer(endpoint, number)
        self.end_answers(endpoint)
        await asyncio.sleep(PAUSE_S / 2)
        self.runs.handle_message(
            direct_helper.ENDPOINT, messages.Cancel('r0.1')
        )
        await self.assert_served()


class ProcessTest(unittest.TestCase):
    """Which connections lead to the process that got a request."""

    def has_got(self, opened, answered=None, reused=False):
        """Tell it for a request of 3.0 over a connection of 2.0."""
        known = types.SimpleNamespace(
            opened=opened, answered=answered, is_connected=lambda: True
        )
        answering = types.SimpleNamespace(
            opened=2.0, asked=3.0, answered=2.5 if reused else None
        )
        return liveness.Process(known).got_request(answering)

    def test_one_that_was_open_before_the_request_does(self):
        self.assertTrue(self.has_got(1.0))
        self.assertTrue(self.has_got(1.0, reused=True))
        self.assertTrue(self.has_got(2.7))

    def test_one_that_was_opened_later_may_not(self):
        """Guards against a next start that a late connection reaches.

        The answer and its end may have waited on their way meanwhile.
        """
        self.assertFalse(self.has_got(3.5))
        self.assertFalse(self.has_got(3.5, answered=4.0))

    def test_one_newer_than_a_reused_one_may_not(self):
        """Guards against a connection that nobody has accepted yet."""
        self.assertFalse(self.has_got(2.7, reused=True))
        self.assertTrue(self.has_got(2.7, answered=2.9, reused=True))
