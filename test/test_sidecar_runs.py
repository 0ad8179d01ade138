"""Tests of runs at the endpoint: relayed answers and reported outcomes."""

import asyncio

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow.sidecar import _run_calls
from test import sidecar_helper

CHUNKED = sidecar_helper.CHUNKED
EVENT_STREAM = sidecar_helper.EVENT_STREAM
LAST_CHUNK = sidecar_helper.LAST_CHUNK
chunk = sidecar_helper.chunk


def write_parts(*parts):
    """Return an endpoint script that writes the parts of an answer."""

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
            write_parts(CHUNKED, chunk(b'ab'), chunk(b'c'), LAST_CHUNK)
        )
        self.start()
        ended = await self.wait_for_event(events.RunEnded)
        self.assertEqual(b'abc', self.outbox.payload())
        self.assertEqual(len(self.outbox.sent), ended.count)
        started = self.fed_events[0]
        self.assertEqual('epoch-1', started.epoch)
        self.assertEqual('a1@1', str(started.adapter))

    async def test_attempt_id_is_sent_to_the_engine_as_request_id(self):
        await self.begin(write_parts(CHUNKED, LAST_CHUNK))
        headers = (
            messages.Header('X-Request-ID', 'of-the-caller'),
            messages.Header('Connection', 'close'),
        )
        self.start('r1.1', headers=headers)
        await self.wait_for_event(events.RunEnded)
        (head,) = self.endpoint.heads
        self.assertIn(b'X-Request-Id: r1.1\r\n', head)
        self.assertNotIn(b'of-the-caller', head)

    async def test_body_is_not_relayed_before_its_head_is_accepted(self):
        """Guards against relaying a body before its head is checked.

        The engine answers with another adapter than requested, and the body
        arrives before the reducer has refused the head.
        """
        self.accepting = False
        await self.begin(
            write_parts(CHUNKED, chunk(b'of another'), LAST_CHUNK)
        )
        self.start()
        await self.wait_for_event(events.RunStarted)
        self.calls.cancel(effects.CancelRun('r1.1'))
        await self.wait_for_event(events.CancelConfirmed)
        self.assertEqual([], self.outbox.sent)

    async def test_slow_reader_limits_the_buffered_bytes(self):
        """Guards against reading a body without limit while unacknowledged.

        A caller stops reading while the engine goes on answering; the sidecar
        would run out of memory.
        """
        size = 4 * 1024 * 1024
        parts = [chunk(b'x' * 1024)] * (size // 1024)
        await self.begin(write_parts(CHUNKED, *parts, LAST_CHUNK))
        self.start()
        await self.wait_until(lambda: self.calls.runs)
        sender = self.calls.runs['r1.1'].sender
        await self.wait_until(lambda: sender.is_paused)
        held = sender.stored_bytes
        self.assertLess(
            held, 2 * _run_calls.MAX_UNACKNOWLEDGED_BYTES + 256 * 1024
        )
        while events.RunEnded not in self.event_types():
            acknowledged = messages.Acknowledge('r1.1', sender.next_sequence)
            self.calls.acknowledge(acknowledged)
            await asyncio.sleep(0)
        self.assertEqual(size, len(self.outbox.payload()))

    async def test_congested_link_pauses_all_answers(self):
        """Guards against checking for congestion only after a send.

        The link is congested, each answer still adds its next chunk, and the
        link is closed for its backlog with all answers on it.
        """
        self.outbox.reports_congestion = True
        await self.begin(write_parts(CHUNKED, chunk(b'a'), LAST_CHUNK))
        self.start('r1.1')
        self.start('r2.1')
        runs = self.calls.runs.values()
        await self.wait_until(lambda: all(run.body_bytes for run in runs))
        self.assertEqual([], self.outbox.sent)
        self.outbox.reports_congestion = False
        self.calls.resume_sending('g1')
        await self.wait_until(lambda: len(self.fed_events) == 4)
        self.assertEqual(b'aa', self.outbox.payload())

    async def test_frames_are_kept_until_acknowledged(self):
        """Guards against dropping frames as soon as they are sent.

        Frames are still in the socket when the link breaks; the gateway
        resumes over a new link and would miss the end of the answer.
        """
        await self.begin(write_parts(CHUNKED, chunk(b'abc'), LAST_CHUNK))
        self.start()
        await self.wait_for_event(events.RunEnded)
        del self.outbox.sent[:]
        self.calls.resend(effects.ResendFrames('r1.1', 'g2', 0))
        self.assertEqual({'g2'}, {peer for peer, _ in self.outbox.sent})
        self.assertEqual(b'abc', self.outbox.payload())
        last = self.outbox.sent[-1][1]
        self.assertIsInstance(last, messages.End)
        self.calls.acknowledge(messages.Acknowledge('r1.1', last.count + 1))
        self.assertEqual({}, self.calls.runs)


class FailureTest(sidecar_helper.RunTestCase):
    async def run_until_failure(self, script):
        """Run against a script and return the RunFailed event."""
        await self.begin(script)
        self.start()
        failed = await self.wait_for_event(events.RunFailed)
        self.assertNotIn(events.RunEnded, self.event_types())
        return failed

    async def test_refused_connection_is_not_run(self):
        await self.connect(await sidecar_helper.unreachable_url())
        self.start()
        failed = await self.wait_for_event(events.RunFailed)
        self.assertEqual(errors.Ran.NOT_RUN, failed.ran)
        self.assertFalse(failed.crashed)

    async def test_adapter_not_loaded_is_not_run(self):
        body = b'{"error": "adapter_not_loaded"}'
        length = b'Content-Length: %d\r\n\r\n' % len(body)
        failed = await self.run_until_failure(
            write_parts(b'HTTP/1.1 404 Not Found\r\n' + length + body)
        )
        self.assertEqual(errors.Ran.NOT_RUN, failed.ran)
        self.assertFalse(failed.crashed)

    async def test_reset_without_an_answer_may_have_run(self):
        """Guards against reporting a broken connection as not run.

        The engine runs the request and dies before it answers. If the run
        were reported as not run, a gateway would retry it elsewhere and it
        would run twice.
        """
        failed = await self.run_until_failure(write_parts())
        self.assertEqual(errors.Ran.UNKNOWN, failed.ran)
        self.assertEqual(errors.Kind.ENDPOINT_FAILED, failed.kind)
        self.assertTrue(failed.crashed)

    async def test_request_is_sent_once(self):
        """Guards against retries by the HTTP library.

        The connection breaks before the answer, and the library resends
        methods that HTTP defines as idempotent: the request would run twice.
        """
        await self.begin(write_parts())
        self.start(method='PUT', idempotent=False)
        await self.wait_for_event(events.RunFailed)
        self.assertEqual(1, len(self.endpoint.heads))

    async def test_truncated_bodies_are_failures(self):
        """Guards against taking the end of a connection for a whole answer.

        The engine dies in the middle of an answer, and its connections and
        its port close; the caller would take half an answer for the whole one.
        """
        length = sidecar_helper.HEAD + b'Content-Length: 9\r\n\r\n'
        cut = {
            'chunks': (CHUNKED, chunk(b'half')),
            'length': (length, b'half'),
            'close': (sidecar_helper.HEAD + b'\r\n', b'half'),
            'events': (EVENT_STREAM, chunk(b'data: {}\n\n'), LAST_CHUNK),
            'event': (EVENT_STREAM, chunk(b'data: [DONE]\n'), LAST_CHUNK),
        }
        for name, parts in cut.items():
            with self.subTest(name):
                self.fed_events.clear()
                failed = await self.run_until_failure(
                    self._end_after(write_parts(*parts))
                )
                self.assertEqual(errors.Kind.STREAM_BROKEN, failed.kind)
                self.assertEqual(errors.Ran.UNKNOWN, failed.ran)
                self.assertTrue(failed.crashed)
                self.assertEqual({}, self.calls.runs)

    def _end_after(self, script):
        """Return a script that closes all the endpoint has, as a crash."""

        async def ending(reader, writer):
            await script(reader, writer)
            self.endpoint.end()
            await writer.wait_closed()

        return ending

    async def test_next_start_does_not_complete_a_cut_answer(self):
        """Guards against a next start at the address, taken for the last one.

        The engine dies in the middle of an answer without a length, and its
        next start listens at once.
        """
        script = write_parts(sidecar_helper.HEAD + b'\r\n', b'half')
        await self.begin(self._restart_after(script))
        self.start()
        outcome = await self.wait_for_event(
            (events.RunFailed, events.RunEnded)
        )
        self.assertIsInstance(outcome, events.RunFailed)
        self.assertEqual(errors.Kind.STREAM_BROKEN, outcome.kind)

    def _restart_after(self, script):
        """Return a script that ends all, and listens again at its port."""

        async def ending(reader, writer):
            await script(reader, writer)
            port = self.endpoint.server.sockets[0].getsockname()[1]
            self.endpoint.end()
            self.endpoint.server = await asyncio.start_server(
                self.endpoint.serve, '127.0.0.1', port
            )
            await writer.wait_closed()

        return ending

    async def test_unanswered_check_is_no_crash(self):
        """Guards against crash reports of an endpoint that is only busy.

        All requests that run there would be suspected of the crash.
        """
        script = _close_after(
            write_parts(sidecar_helper.HEAD + b'\r\n', b'all of it')
        )

        async def busy(reader, writer):
            if self.endpoint.heads[-1].startswith(b'GET /healthz'):
                await reader.read()
                return
            await script(reader, writer)

        failed = await self.run_until_failure(busy)
        self.assertEqual(errors.Kind.STREAM_BROKEN, failed.kind)
        self.assertFalse(failed.crashed)

    async def test_answer_that_ends_with_its_connection_is_complete(self):
        """Guards against whole answers that are given up for their framing."""
        parts = (sidecar_helper.HEAD + b'\r\n', b'all of it')
        await self.begin(_close_after(write_parts(*parts)))
        self.start()
        await self.wait_for_event(events.RunEnded)

    async def test_event_stream_with_its_last_event_is_complete(self):
        done = (chunk(b'data: {}\n\ndata: [DO'), chunk(b'NE]\n\n'))
        await self.begin(write_parts(EVENT_STREAM, *done, LAST_CHUNK))
        self.start()
        await self.wait_for_event(events.RunEnded)

    async def test_unexpected_library_error_fails_the_run(self):
        """Guards against a task that ends without an event for its run.

        A header can't be written and the library raises an undocumented
        error. The slot would stay pinned and could not be loaded any more.
        """
        await self.begin(write_parts())
        bad = messages.Header('X-Odd', 'one\r\ntwo')
        with self.assertLogs(level='ERROR'):
            self.start(headers=(bad,))
            failed = await self.wait_for_event(events.RunFailed)
        self.assertEqual(errors.Kind.INTERNAL, failed.kind)
        self.assertFalse(failed.crashed)


class CancelTest(sidecar_helper.RunTestCase):
    async def test_cancel_before_the_head_is_repeated_until_confirmed(self):
        """Guards against taking an unknown request for one that won't run.

        A cancel overtakes its request: the engine does not know the request
        yet and runs it a moment later, when its slot may have been loaded
        with another adapter.
        """
        self.control.results = [False, sidecar_helper.LOST_ANSWER, True]
        await self.begin(hang)
        self.start()
        self.calls.cancel(effects.CancelRun('r1.1'))
        await self.wait_for_event(events.CancelConfirmed)
        self.assertEqual(3, self.control.cancel_calls)
        self.assertEqual([events.CancelConfirmed], self.event_types())

    async def test_cancel_after_the_head_needs_one_answer(self):
        async def script(reader, writer):
            writer.write(CHUNKED)
            await hang(reader, writer)

        self.control.results = [False]
        await self.begin(script)
        self.start()
        await self.wait_for_event(events.RunStarted)
        self.calls.cancel(effects.CancelRun('r1.1'))
        await self.wait_for_event(events.CancelConfirmed)
        self.assertEqual(1, self.control.cancel_calls)

    async def test_cancel_of_an_unknown_run_is_confirmed(self):
        await self.connect(await sidecar_helper.unreachable_url())
        self.calls.cancel(effects.CancelRun('r9.1'))
        self.assertEqual([events.CancelConfirmed], self.event_types())


def _close_after(script):
    """Return a script that closes its connection without a reset."""

    async def closing(reader, writer):
        await script(reader, writer)
        writer.close()
        await writer.wait_closed()

    return closing
