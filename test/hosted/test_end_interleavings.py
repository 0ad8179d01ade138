"""Tests of the proof of an answer's end: odd connections and odd orders."""

import asyncio
import contextlib
import gc
import socket
import threading
import time

from berylhollow import effects
from berylhollow import messages
from berylhollow import outgoing
from test import event_streams
from test.hosted import direct_helper

STREAM = event_streams.answers(event_streams.EVENT)
CHECK_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
SETTLE_S = 0.1


class EndpointProcess:
    """An endpoint whose test decides when it answers and what it closes.

    A request is answered with ``answer``; its connection stays open.
    ``check_s`` is how long a check takes, ``head_s`` a head. ``requests`` and
    ``checks`` are the connections that carried any, in order; ``opened`` are
    all.
    """

    def __init__(self, answer=STREAM['no length']):
        self.answer = answer
        self.check_answer = CHECK_ANSWER
        self.check_s = 0.0
        self.head_s = 0.0
        self.opened = []
        self.requests = []
        self.checks = []

    async def serve(self, reader, writer):
        self.opened.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                if head.startswith(b'GET /healthz'):
                    self.checks.append(writer)
                    await asyncio.sleep(self.check_s)
                    writer.write(self.check_answer)
                else:
                    self.requests.append(writer)
                    await asyncio.sleep(self.head_s)
                    writer.write(self.answer)
        writer.close()

    def end(self):
        """Close everything, as a process that ends."""
        for writer in self.opened:
            writer.close()


class InterleavingTestCase(direct_helper.DirectTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.process = EndpointProcess()

    async def until(self, condition):
        async with asyncio.timeout(direct_helper.HANG_S):
            while not condition():
                await asyncio.sleep(0.005)

    async def begin_answer(self, number=1):
        """Send a request; return when the head and a part have arrived."""
        self.send_offer(number=number)
        told = [await self.next_message() for _ in range(2)]
        self.assertNotIn(messages.End, map(type, told))

    async def begin_shown_answer(self, number=1):
        """Begin an answer whose endpoint has answered a check."""
        before = len(self.process.checks)
        await self.begin_answer(number)
        await self.until(lambda: self.is_shown or self.process.checks)
        if not before:
            await self.until(lambda: self.is_shown)

    @property
    def is_shown(self):
        """Whether the endpoint has answered a check."""
        process = self.watch.process
        return process is not None and process.shown is not None

    @property
    def watch(self):
        (watch,) = self.runs.calls.watches.by_endpoint.values()
        return watch

    async def refuse(self, _url):
        raise outgoing.CallNotSent('refused')

    async def outcome(self):
        return (await self.messages_to_end())[-1]


class CutAnswerTest(InterleavingTestCase):
    """Guards against an answer that a crash cut, taken for complete."""

    async def test_extra_answer_is_no_answer_to_a_later_check(self):
        """Guards against an extra response taken for the check's answer.

        The endpoint answers a check twice, the second time a little later.
        It crashes; the end of that connection arrives 100 ms after the others.
        """
        await self.listen(self.process)
        await self.begin_shown_answer()
        await asyncio.sleep(SETTLE_S)
        self.process.checks[-1].write(CHECK_ANSWER)
        await asyncio.sleep(SETTLE_S)
        self.process.check_s = direct_helper.HANG_S
        self.process.requests[-1].close()
        outcome = asyncio.create_task(self.outcome())
        await asyncio.sleep(SETTLE_S)
        self.process.end()
        self.assertIsInstance(await outcome, messages.Failed)

    async def test_extra_answer_to_a_request_is_no_answer_to_a_check(self):
        """Guards against an extra response on a connection kept for requests.

        Two kept ones get extra responses, and no other connection is open.
        """
        self.process.answer = STREAM['length']
        await self.listen(self.process)
        for number in (1, 2, 3):
            self.send_offer(number=number)
        for _ in range(3):
            self.assertIsInstance(await self.outcome(), messages.End)
        self.watch.process.connections[0].close()
        self.process.check_s = direct_helper.HANG_S
        self.process.answer = STREAM['no length']
        self.send_offer(number=4)
        await self.until(lambda: len(self.process.requests) == 4)
        cut = self.process.requests[-1]
        for writer in self.process.requests[:3]:
            if writer is not cut:
                writer.write(STREAM['length'])
        await asyncio.sleep(SETTLE_S)
        cut.close()
        outcome = asyncio.create_task(self.outcome())
        await asyncio.sleep(SETTLE_S)
        self.process.end()
        self.assertIsInstance(await outcome, messages.Failed)

    async def test_connection_that_is_closed_here_ends_no_answer(self):
        """Guards against our own close of a connection, taken for an end."""
        await self.listen(self.process)
        await self.begin_shown_answer()
        (connection,) = self.runs.calls.session.connector._acquired
        connection.close()
        self.assertIsInstance(await self.outcome(), messages.Failed)

    async def test_waiting_connection_is_accepted_by_the_next_start(self):
        """Guards against a connection that the crashed process never took.

        A supervisor holds the listening socket. The endpoint serves one
        connection and accepts no other; its next start accepts the one that
        waits, and answers the check on it.
        """
        listening = socket.create_server(('127.0.0.1', 0))
        listening.setblocking(False)
        self.stack.callback(listening.close)
        port = listening.getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        loop = asyncio.get_running_loop()
        self.process.answer = STREAM['length']
        connector = self.runs.calls.session.connector
        await connector.open_kept(f'http://{self.address}')
        await self.accept(loop, listening, self.process)
        self.send_offer(number=1)
        self.assertIsInstance(await self.outcome(), messages.End)
        await self.until(lambda: self.watch.process is not None)
        self.process.answer = STREAM['no length']
        await self.begin_answer(number=2)
        self.process.end()
        next_start = EndpointProcess()
        await self.accept(loop, listening, next_start)
        self.assertIsInstance(await self.outcome(), messages.Failed)

    async def accept(self, loop, listening, process):
        accepted, _ = await loop.sock_accept(listening)
        reader = asyncio.StreamReader()
        protocol = asyncio.StreamReaderProtocol(reader, process.serve)
        await loop.connect_accepted_socket(lambda: protocol, accepted)

    async def test_check_of_the_next_start_before_a_late_end(self):
        """Guards against an end that arrives after the next start's answer.

        The endpoint refused the connection for checks, so that none was open
        before. It crashes; the end of its answer's connection is lost once
        and arrives 200 ms later.
        """
        await self.listen(self.process)
        connector = self.runs.calls.watches.session.connector
        connector.open_kept = self.refuse
        self.process.check_answer = b'not HTTP\r\n\r\n'
        await self.begin_answer()
        next_start = EndpointProcess()
        port = int(self.address.rpartition(':')[2])
        del connector.open_kept
        self.process.server.close()
        for writer in self.process.checks:
            writer.close()
        await self.listen(next_start, port)
        await self.until(lambda: next_start.checks)
        await asyncio.sleep(SETTLE_S)
        self.process.end()
        self.assertIsInstance(await self.outcome(), messages.Failed)


class WholeAnswerTest(InterleavingTestCase):
    """Guards against a complete answer that is broken off without a crash."""

    async def test_cancelled_caller_does_not_end_the_check_of_others(self):
        """Guards against one caller's cancel that breaks others' answers.

        Two answers end together; the caller whose check is on its way
        leaves.
        """
        await self.listen(self.process)
        await self.begin_shown_answer(number=1)
        await self.begin_answer(number=2)
        await asyncio.sleep(SETTLE_S)
        self.process.check_s = 0.2
        before = len(self.process.checks)
        first, second = self.process.requests
        first.close()
        await self.until(lambda: len(self.process.checks) > before)
        second.close()
        await asyncio.sleep(0.05)
        self.runs.runs['r1.1'].cancel()
        self.assertIsInstance(await self.outcome(), messages.End)

    async def test_request_that_comes_during_a_check(self):
        """Guards against two connections for checks that are used in turn.

        The first connection for checks is lost; another one is opened by the
        keeper's check and one by a request that comes meanwhile.
        """
        await self.listen(self.process)
        await self.begin_shown_answer(number=1)
        await asyncio.sleep(SETTLE_S)
        self.process.check_s = 0.2
        before = len(self.process.checks)
        self.process.checks[-1].close()
        await self.until(lambda: len(self.process.checks) > before)
        await self.begin_answer(number=2)
        await asyncio.sleep(0.5)
        self.process.check_s = 0.0
        for writer in self.process.requests:
            writer.close()
        for _ in range(2):
            self.assertIsInstance(await self.outcome(), messages.End)

    async def test_request_after_the_loss_of_the_connection_for_checks(self):
        """Guards against running answers that are left without a proof.

        One of the connections for checks is closed as idle. A request whose
        answer has a length comes before another one is open; the running
        answer ends a little later.
        """
        await self.listen(self.process)
        await self.begin_shown_answer(number=1)
        await asyncio.sleep(1.5)
        self.process.checks[-1].close()
        await asyncio.sleep(SETTLE_S)
        self.assertTrue(self.watch._is_open)
        self.process.answer = STREAM['length']
        self.send_offer(number=2)
        self.assertIsInstance(await self.outcome(), messages.End)
        self.process.requests[1].close()
        await asyncio.sleep(0.5)
        self.process.requests[0].close()
        self.assertIsInstance(await self.outcome(), messages.End)

    async def test_changed_check_path_keeps_the_proof(self):
        """Guards against checks over the connection of another watch.

        The configuration names another path while an answer runs; both
        watches use connections to the same address.
        """
        await self.listen(self.process)
        await self.begin_shown_answer(number=1)
        await asyncio.sleep(SETTLE_S)
        self.check_path = lambda _service: '/healthz2'
        await self.begin_answer(number=2)
        await asyncio.sleep(SETTLE_S)
        for writer in self.process.requests:
            writer.close()
        for _ in range(2):
            self.assertIsInstance(await self.outcome(), messages.End)

    async def test_one_early_close_does_not_multiply_the_checks(self):
        """Guards against endpoints that are flooded with health checks.

        One connection is closed right after a check, without a reason given.
        Checks wait for a slot of the endpoint as requests do.
        """
        await self.listen(self.process)
        await self.begin_shown_answer(number=1)
        self.process.checks[-1].close()
        await self.until(lambda: len(self.process.checks) > 1)
        await asyncio.sleep(2.0)
        self.assertLessEqual(len(self.process.checks), 5)

    async def test_endpoint_that_serves_one_connection_after_the_other(self):
        """Guards against an idle connection that keeps a request out.

        The endpoint reads a connection to its end before it accepts the next
        one; the connection for checks must not come before the request's.
        """
        listening = socket.create_server(('127.0.0.1', 0))
        listening.setblocking(False)
        self.stack.callback(listening.close)
        self.address = f'127.0.0.1:{listening.getsockname()[1]}'
        loop = asyncio.get_running_loop()

        async def serve_all():
            while True:
                accepted, _ = await loop.sock_accept(listening)
                reader, writer = await asyncio.open_connection(sock=accepted)
                with contextlib.suppress(asyncio.IncompleteReadError):
                    head = await reader.readuntil(b'\r\n\r\n')
                    is_check = head.startswith(direct_helper.CHECK)
                    writer.write(
                        CHECK_ANSWER if is_check else STREAM['length']
                    )
                writer.close()

        serving = asyncio.create_task(serve_all())
        self.stack.callback(serving.cancel)
        for number in (1, 2):
            self.send_offer(number=number)
            async with asyncio.timeout(3):
                self.assertIsInstance(await self.outcome(), messages.End)
            await asyncio.sleep(SETTLE_S)

    async def test_first_requests_to_an_endpoint_that_has_just_started(self):
        """Guards against whole answers lost right after a start.

        Two requests come together, while the first connection for checks is
        being opened, which takes longer than theirs.
        """
        await self.listen(self.process)
        connector = self.runs.calls.watches.session.connector
        open_kept = connector.open_kept

        async def open_slowly(url):
            await asyncio.sleep(0.005)
            return await open_kept(url)

        connector.open_kept = open_slowly
        for number in (1, 2):
            self.send_offer(number=number)
        await self.until(lambda: len(self.process.requests) == 2)
        await asyncio.sleep(SETTLE_S)
        for writer in self.process.requests:
            writer.close()
        outcomes = [type(await self.outcome()) for _ in range(2)]
        self.assertEqual(2, outcomes.count(messages.End), outcomes)

    async def test_first_answer_of_a_next_start_that_was_down(self):
        """Guards against whole answers lost right after a restart.

        A request was refused while the endpoint was down; the next one comes
        a little later.
        """
        await self.listen(self.process)
        await self.begin_shown_answer()
        port = int(self.address.rpartition(':')[2])
        self.process.server.close()
        self.process.end()
        self.assertIsInstance(await self.outcome(), messages.Failed)
        self.send_offer(number=2)
        self.assertIsInstance(await self.outcome(), messages.Failed)
        self.process = EndpointProcess()
        await self.listen(self.process, port)
        await self.begin_answer(number=3)
        self.process.requests[-1].close()
        self.assertIsInstance(await self.outcome(), messages.End)

    async def test_first_answer_whose_head_is_slow(self):
        """Guards against an endpoint that is slow, taken for a serial one.

        It serves several connections at once.
        """
        self.process.head_s = 0.9
        await self.listen(self.process)
        await self.begin_answer()
        self.process.requests[0].close()
        self.assertIsInstance(await self.outcome(), messages.End)

    async def test_answers_that_end_while_a_check_closes_its_connection(self):
        """Guards against whole answers lost where checks aren't kept open.

        Ten answers end 10 ms apart; a check takes 30 ms, and the endpoint
        closes its connection.
        """
        self.process.check_answer = CHECK_ANSWER.replace(
            b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n'
        )
        await self.listen(self.process)
        for number in range(10):
            await self.begin_answer(number=number)
        await asyncio.sleep(2 * SETTLE_S)
        self.process.check_s = 0.03
        for writer in list(self.process.requests):
            writer.close()
            await asyncio.sleep(0.01)
        outcomes = [type(await self.outcome()) for _ in range(10)]
        self.assertEqual(10, outcomes.count(messages.End), outcomes)

    async def test_reset_of_the_connection_for_checks_leaves_no_error(self):
        """Guards against errors in futures that nobody reads."""
        errors = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        await self.listen(self.process)
        await self.begin_shown_answer(number=1)
        await asyncio.sleep(SETTLE_S)
        writer = self.process.checks[-1]
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, direct_helper.RESET
        )
        writer.transport.abort()
        await asyncio.sleep(0.6)
        self.process.requests[-1].close()
        self.assertIsInstance(await self.outcome(), messages.End)
        for _ in range(3):
            gc.collect()
            await asyncio.sleep(0.01)
        self.assertEqual([], errors)

    async def test_gateway_that_stands_still_reads_the_answer_to_its_check(
        self,
    ):
        """Guards against whole answers broken off by a gateway that is slow.

        The gateway's event loop stands still for longer than a check may
        take once a check is sent; its answer waits in the kernel.
        """
        listening = socket.create_server(('127.0.0.1', 0))
        self.stack.callback(listening.close)
        self.address = f'127.0.0.1:{listening.getsockname()[1]}'
        ends = threading.Event()

        def accept():
            with contextlib.suppress(OSError):
                while True:
                    accepted, _ = listening.accept()
                    start(serve, accepted)

        def serve(accepted):
            with accepted:
                while head := accepted.recv(65536):
                    if not head.startswith(b'GET /healthz'):
                        accepted.sendall(STREAM['no length'])
                        ends.wait(direct_helper.HANG_S)
                        return
                    if ends.is_set():
                        time.sleep(SETTLE_S)
                    accepted.sendall(CHECK_ANSWER)

        def start(target, *arguments):
            threading.Thread(
                target=target, args=arguments, daemon=True
            ).start()

        start(accept)
        await self.begin_answer()
        await self.until(lambda: self.is_shown)
        await asyncio.sleep(SETTLE_S)
        ends.set()
        await self.until(lambda: self.watch.checking is not None)
        await asyncio.sleep(SETTLE_S / 4)
        time.sleep(1.2)
        self.assertIsInstance(await self.outcome(), messages.End)

    async def test_checks_leave_the_last_connection_to_requests(self):
        """Guards against requests that are reset for a connection of checks.

        The endpoint accepts two connections and resets any others; two
        requests come.
        """
        await self.serve_two()

    async def test_connection_that_a_request_got_proves_an_earlier_end(self):
        """Guards against whole answers lost at a limit of connections.

        The connection for checks was given to a request meanwhile.
        """
        await self.serve_two()
        self.process.requests[0].close()
        self.assertIsInstance(await self.outcome(), messages.End)

    async def test_endpoint_that_resets_a_request_is_not_at_its_limit(self):
        """Guards against answers without a proof after any reset request.

        A request is reset 0.2 s after its connection was opened; the next
        one, while an answer runs, must not get the connection for checks.
        """
        await self.listen(self.process)
        await self.begin_shown_answer(number=1)
        self.process.head_s = direct_helper.HANG_S
        self.send_offer(number=2)
        await self.until(lambda: len(self.process.requests) == 2)
        await asyncio.sleep(2 * SETTLE_S)
        writer = self.process.requests[1]
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, direct_helper.RESET
        )
        writer.transport.abort()
        self.assertIsInstance(await self.outcome(), messages.Failed)
        opened = [*self.process.opened]
        self.send_offer(number=3)
        await self.until(lambda: len(self.process.requests) == 3)
        self.assertNotIn(self.process.requests[2], opened)
        self.process.requests[0].close()
        self.assertIsInstance(await self.outcome(), messages.End)

    async def serve_two(self):
        """Have the second of two requests served while the first one runs."""
        await self.listen_to_two()
        await self.begin_answer(number=1)
        await asyncio.sleep(SETTLE_S)
        self.process.answer = STREAM['length']
        self.send_offer(number=2)
        self.assertIsInstance(await self.outcome(), messages.End)

    async def listen_to_two(self):
        """Have the endpoint accept two connections and reset any others."""
        serve = self.process.serve

        async def limited(reader, writer):
            if sum(not x.is_closing() for x in self.process.opened) < 2:
                await serve(reader, writer)
                return
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, direct_helper.RESET
            )
            writer.transport.abort()

        self.process.serve = limited
        await self.listen(self.process)


class LifeTest(InterleavingTestCase):
    """What shows since when a process has been up."""

    def check_life(self):
        self.runs.check_life(effects.CheckLife(direct_helper.ENDPOINT))

    async def test_process_shows_since_when_it_is_up(self):
        """Also where no answer is without a length: none was checked."""
        for name in ('length', 'no length'):
            with self.subTest(name):
                self.process = EndpointProcess(STREAM[name])
                await self.listen(self.process)
                self.send_offer()
                await self.until(lambda: self.process.requests)
                await asyncio.sleep(SETTLE_S)
                self.check_life()
                async with asyncio.timeout(direct_helper.HANG_S):
                    peer, since_ms, until_ms = await self.outlived.get()
                self.assertEqual(direct_helper.ENDPOINT, peer)
                self.assertEqual(0, until_ms)
                self.assertLessEqual(since_ms, -SETTLE_S * 900)

    async def test_next_start_is_not_up_since_before_the_crash(self):
        """Guards against a next start that is taken for the process before.

        It listens at once, and gets a request.
        """
        await self.listen(self.process)
        await self.begin_shown_answer()
        await asyncio.sleep(2 * SETTLE_S)
        port = int(self.address.rpartition(':')[2])
        self.process.server.close()
        self.process.end()
        await self.listen(EndpointProcess(), port)
        self.assertIsInstance(await self.outcome(), messages.Failed)
        await self.begin_answer(number=2)
        self.check_life()
        await asyncio.sleep(SETTLE_S)
        while not self.outlived.empty():
            _, since_ms, _ = self.outlived.get_nowait()
            self.assertGreater(since_ms, -2 * SETTLE_S * 1000)
