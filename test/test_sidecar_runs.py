"""Tests of runs at the endpoint: what is relayed and what is reported."""

import asyncio

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow.sidecar import _run_calls
from test import sidecar_helper

CHUNKED = sidecar_helper.CHUNKED
EVENTS = sidecar_helper.EVENTS
LAST_CHUNK = sidecar_helper.LAST_CHUNK
chunk = sidecar_helper.chunk


def writes(*parts):
    """Return a script that writes the parts of an answer."""

    async def script(reader, writer):
        for part in parts:
            writer.write(part)
            await writer.drain()

    return script


async def hang(reader, writer):
    await reader.read()


class RelayTest(sidecar_helper.RunTestCase):
    async def test_whole_answer_is_relayed_and_counted(self):
        await self.begin(
            writes(CHUNKED, chunk(b'ab'), chunk(b'c'), LAST_CHUNK)
        )
        self.start()
        ended = await self.until(events.RunEnded)
        self.assertEqual(b'abc', self.outbox.payload())
        self.assertEqual(len(self.outbox.sent), ended.count)
        started = self.fed[0]
        self.assertEqual('epoch-1', started.epoch)
        self.assertEqual('a1@1', str(started.adapter))

    async def test_engine_knows_a_run_by_its_attempt(self):
        await self.begin(writes(CHUNKED, LAST_CHUNK))
        headers = (
            messages.Header('X-Request-ID', 'of-the-caller'),
            messages.Header('Connection', 'close'),
        )
        self.start('r1.1', headers=headers)
        await self.until(events.RunEnded)
        (head,) = self.endpoint.heads
        self.assertIn(b'X-Request-Id: r1.1\r\n', head)
        self.assertNotIn(b'of-the-caller', head)

    async def test_nothing_follows_a_head_that_was_not_accepted(self):
        """A caller reads the start of another adapter's answer.

        The engine answers for another adapter than asked; the reducer
        refuses the head while the body is already here. Cause: a body that
        is relayed before its head was checked.
        """
        self.accepting = False
        await self.begin(writes(CHUNKED, chunk(b'of another'), LAST_CHUNK))
        self.start()
        await self.until(events.RunStarted)
        self.calls.cancel(effects.CancelRun('r1.1'))
        await self.until(events.CancelConfirmed)
        self.assertEqual([], self.outbox.sent)

    async def test_slow_reader_holds_up_its_own_answer_only(self):
        """The sidecar's memory fills up and its process is killed.

        A caller stops to read; the engine goes on to answer. Cause: a body
        that is read on though nothing of it is acknowledged.
        """
        size = 4 * 1024 * 1024
        parts = [chunk(b'x' * 1024)] * (size // 1024)
        await self.begin(writes(CHUNKED, *parts, LAST_CHUNK))
        self.start()
        await self.until_true(lambda: self.calls.runs)
        sender = self.calls.runs['r1.1'].sender
        await self.until_true(lambda: sender.paused)
        held = sender.kept_bytes
        self.assertLess(
            held, 2 * _run_calls.MAX_UNACKNOWLEDGED_BYTES + 256 * 1024
        )
        while events.RunEnded not in self.types():
            acknowledged = messages.Acknowledge('r1.1', sender.next_sequence)
            self.calls.acknowledge(acknowledged)
            await asyncio.sleep(0)
        self.assertEqual(size, len(self.outbox.payload()))

    async def test_congested_link_holds_up_all_answers(self):
        """Every answer of a gateway breaks off at once.

        Its link is full; each answer still adds its next part, and the link
        is closed for its backlog. Cause: a look at the link after a part was
        sent instead of before.
        """
        self.outbox.full = True
        await self.begin(writes(CHUNKED, chunk(b'a'), LAST_CHUNK))
        self.start('r1.1')
        self.start('r2.1')
        runs = self.calls.runs.values()
        await self.until_true(lambda: all(run.body_bytes for run in runs))
        self.assertEqual([], self.outbox.sent)
        self.outbox.full = False
        self.calls.relieve('g1')
        await self.until_true(lambda: len(self.fed) == 4)
        self.assertEqual(b'aa', self.outbox.payload())

    async def test_frames_are_kept_until_acknowledged(self):
        """A gateway loses the end of an answer when its link breaks.

        Frames are in the socket as the link goes; the gateway opens another
        and resumes. Cause: frames dropped as soon as they were sent.
        """
        await self.begin(writes(CHUNKED, chunk(b'abc'), LAST_CHUNK))
        self.start()
        await self.until(events.RunEnded)
        del self.outbox.sent[:]
        self.calls.resend(effects.ResendFrames('r1.1', 'g2', 0))
        self.assertEqual({'g2'}, {peer for peer, _ in self.outbox.sent})
        self.assertEqual(b'abc', self.outbox.payload())
        last = self.outbox.sent[-1][1]
        self.assertIsInstance(last, messages.End)
        self.calls.acknowledge(messages.Acknowledge('r1.1', last.count + 1))
        self.assertEqual({}, self.calls.runs)


class FailureTest(sidecar_helper.RunTestCase):
    async def fails(self, script):
        """Return how a run ends on an endpoint with this script."""
        await self.begin(script)
        self.start()
        failed = await self.until(events.RunFailed)
        self.assertNotIn(events.RunEnded, self.types())
        return failed

    async def test_refused_connection_is_not_run(self):
        await self.connect(await sidecar_helper.unreachable())
        self.start()
        failed = await self.until(events.RunFailed)
        self.assertEqual(errors.Ran.NOT_RUN, failed.ran)
        self.assertFalse(failed.crashed)

    async def test_adapter_not_loaded_is_not_run(self):
        body = b'{"error": "adapter_not_loaded"}'
        length = b'Content-Length: %d\r\n\r\n' % len(body)
        failed = await self.fails(
            writes(b'HTTP/1.1 404 Not Found\r\n' + length + body)
        )
        self.assertEqual(errors.Ran.NOT_RUN, failed.ran)
        self.assertFalse(failed.crashed)

    async def test_reset_without_an_answer_may_have_run(self):
        """A booking is made twice.

        The engine runs it and dies before it answers; the run is reported
        as not run, and a gateway tries it elsewhere. Cause: a connection
        that broke late taken for one that was never opened.
        """
        failed = await self.fails(writes())
        self.assertEqual(errors.Ran.UNKNOWN, failed.ran)
        self.assertEqual(errors.Kind.ENDPOINT_FAILED, failed.kind)
        self.assertTrue(failed.crashed)

    async def test_request_is_sent_once(self):
        """A number is ported twice although its caller asked once.

        The connection breaks before the answer, and a method that HTTP
        calls idempotent is sent again by the library. Cause: a library's
        retries below the ones that we decide on.
        """
        await self.begin(writes())
        self.start(method='PUT', idempotent=False)
        await self.until(events.RunFailed)
        self.assertEqual(1, len(self.endpoint.heads))

    async def test_cut_bodies_are_not_whole(self):
        """A caller takes half an answer for the whole one.

        The engine dies in the middle; its connection closes and the rest
        never comes. Cause: the end of a connection taken for the end of the
        answer.
        """
        length = sidecar_helper.HEAD + b'Content-Length: 9\r\n\r\n'
        cut = {
            'chunks': (CHUNKED, chunk(b'half')),
            'length': (length, b'half'),
            'close': (sidecar_helper.HEAD + b'\r\n', b'half'),
            'events': (EVENTS, chunk(b'data: {}\n\n'), LAST_CHUNK),
        }
        for name, parts in cut.items():
            with self.subTest(name):
                self.fed.clear()
                failed = await self.fails(_closing(writes(*parts)))
                self.assertEqual(errors.Kind.STREAM_BROKEN, failed.kind)
                self.assertEqual(errors.Ran.UNKNOWN, failed.ran)
                self.assertEqual({}, self.calls.runs)

    async def test_events_with_their_last_one_are_whole(self):
        done = (chunk(b'data: {}\n\ndata: [DO'), chunk(b'NE]\n\n'))
        await self.begin(writes(EVENTS, *done, LAST_CHUNK))
        self.start()
        await self.until(events.RunEnded)

    async def test_run_that_the_library_refuses_ends_too(self):
        """An adapter can't be loaded any more after one odd request.

        Its header can't be written and the library raises an error of no
        kind we know. Cause: a task that ends without a word of its run.
        """
        await self.begin(writes())
        bad = messages.Header('X-Odd', 'one\r\ntwo')
        with self.assertLogs(level='ERROR'):
            self.start(headers=(bad,))
            failed = await self.until(events.RunFailed)
        self.assertEqual(errors.Kind.INTERNAL, failed.kind)
        self.assertFalse(failed.crashed)


class CancelTest(sidecar_helper.RunTestCase):
    async def test_cancel_before_the_head_waits_for_the_engine(self):
        """A slot changes its adapter under a request that runs on it.

        A cancel overtakes its request: the engine does not know it yet, runs
        it a moment later, and by then the slot was loaded anew. Cause: "I
        don't know it" taken for "it does not run".
        """
        self.control.results = [False, sidecar_helper.LOST, True]
        await self.begin(hang)
        self.start()
        self.calls.cancel(effects.CancelRun('r1.1'))
        await self.until(events.CancelConfirmed)
        self.assertEqual(3, self.control.asked)
        self.assertEqual([events.CancelConfirmed], self.types())

    async def test_engine_that_answered_is_believed(self):
        async def script(reader, writer):
            writer.write(CHUNKED)
            await hang(reader, writer)

        self.control.results = [False]
        await self.begin(script)
        self.start()
        await self.until(events.RunStarted)
        self.calls.cancel(effects.CancelRun('r1.1'))
        await self.until(events.CancelConfirmed)
        self.assertEqual(1, self.control.asked)

    async def test_cancel_of_an_unknown_run_is_confirmed(self):
        await self.connect(await sidecar_helper.unreachable())
        self.calls.cancel(effects.CancelRun('r9.1'))
        self.assertEqual([events.CancelConfirmed], self.types())


def _closing(script):
    """Return a script that ends its connection without a reset."""

    async def closing(reader, writer):
        await script(reader, writer)
        writer.close()
        await writer.wait_closed()

    return closing
