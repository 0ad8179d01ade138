"""The hosted programs, end to end over real sockets."""

import asyncio
import signal
import time

from test.hosted import hosted_helper
from test import platform_builders as builders


class HostedTest(hosted_helper.HostedTestCase):
    async def begin_all(self):
        await self.register_all()
        self.sidecar = await self.begin('sidecar')
        self.gateway = await self.begin('gateway')
        await self.wait_until_ready()

    async def test_adapter_is_loaded_and_the_request_answered(self):
        await self.begin_all()

        async def answered():
            async with self.open_request(
                '/lohu930/x', Model='daka510000/a3'
            ) as got:
                self.body = await got.read()
                return got.status == 200

        await self.wait_until(answered)
        self.assertEqual(b''.join(self.model.events), self.body)
        self.assertEqual({'daka510000': {'a3': 1}}, self.model.models)
        (ran,) = self.model.ran
        self.assertEqual(('a3', b'body'), (ran.adapter, ran.body))

    async def test_plain_request_needs_no_sidecar(self):
        await self.register_all()
        self.gateway = await self.begin('gateway')
        await self.wait_until_ready()
        async with self.open_request('/puxa403/x', 'id-7') as got:
            self.assertEqual(200, got.status)
            self.assertEqual('id-7', got.headers['Request-Id'])
            self.assertEqual('seal-of-i-plain', got.headers['Server-Seal'])
        async with self.open_request('/nowhere/x') as got:
            self.assertEqual(404, got.status)

    async def answer_to(self, head):
        """Send the head of a request as bytes and return the first line."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.ports[2]
        )
        writer.write(head + b'Connection: close\r\nContent-Length: 0\r\n\r\n')
        async with asyncio.timeout(hosted_helper.HANG_S):
            line = await reader.readline()
        writer.close()
        return line

    async def test_bytes_that_are_no_text_do_not_end_the_gateway(self):
        """Guards against one request that ends a gateway with all it serves.

        A field value may have bytes that are not UTF-8. In the name of a model
        they made the reducer fail, which ended the process.
        """
        await self.register_all()
        self.gateway = await self.begin('gateway')
        await self.wait_until_ready()
        host = f'Host: {builders.HOST}\r\n'.encode()
        for text in (b'daka510000/pl\xe5t', b'pl\xe5t', b'm/\xff\xfe'):
            line = await self.answer_to(
                b'POST /lohu930/x HTTP/1.1\r\n'
                + host
                + b'Request-Id: id-1\r\nModel: %b\r\n' % text
            )
            self.assertIn(b' 400 ', line)
        line = await self.answer_to(
            b'POST /puxa403/x HTTP/1.1\r\n' + host + b'Request-Id: i\xe5d\r\n'
        )
        self.assertIn(b' 400 ', line)
        async with self.open_request('/puxa403/x', 'id-7') as got:
            self.assertEqual(200, got.status)
        self.assertIsNone(self.gateway.process.returncode)

    async def test_signal_that_settings_changed_ends_nothing(self):
        await self.begin_all()
        self.gateway.process.send_signal(signal.SIGHUP)
        self.sidecar.process.send_signal(signal.SIGHUP)

        async def told():
            return self.gateway.logged('settings may have changed')

        await self.wait_until(told)
        async with self.open_request('/puxa403/x') as got:
            self.assertEqual(200, got.status)

    async def test_planned_stop_finishes_what_runs(self):
        """A gateway is told to stop while an answer is under way.

        It says that it is not ready at once, goes on with the answer, and
        ends in time by itself; the platform kills it after its grace.
        """
        await self.begin_all()
        self.plain.faults.hangs = True
        asking = asyncio.create_task(self.whole('/puxa403/x'))

        async def running():
            return self.plain.ran

        await self.wait_until(running)
        started = time.monotonic()
        self.gateway.process.send_signal(signal.SIGTERM)

        async def not_ready():
            return await self.ready() != 200

        await self.wait_until(not_ready)
        # The route's timeout ends the answer that never comes.
        status, _ = await asking
        self.assertEqual(504, status)
        async with asyncio.timeout(hosted_helper.HANG_S):
            code = await self.gateway.process.wait()
        self.assertEqual(0, code)
        self.took_s = time.monotonic() - started

    async def whole(self, path):
        async with self.open_request(path) as got:
            return got.status, await got.read()

    async def read_in_http_1_0(self, during=None):
        """Return what a caller reads up to the end of its connection."""
        await self.register_all()
        self.gateway = await self.begin('gateway')
        await self.wait_until_ready()
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.ports[2]
        )
        self.stack.callback(writer.transport.abort)
        writer.write(
            b'POST /puxa403/x HTTP/1.0\r\nHost: %b\r\nRequest-Id: id-1\r\n'
            b'Deadline-Ms: 5000\r\n\r\n' % builders.HOST.encode()
        )
        async with asyncio.timeout(hosted_helper.HANG_S):
            first = await reader.readuntil(self.plain.events[0])
            if during is not None:
                during()
            return first + await reader.read()

    async def test_complete_answer_in_http_1_0_ends_with_a_close(self):
        whole = await self.read_in_http_1_0()
        self.assertTrue(whole.endswith(b''.join(self.plain.events)))

    async def test_broken_answer_in_http_1_0_ends_with_a_reset(self):
        """Guards against truncated answers that look complete.

        Without chunks, a caller that speaks HTTP/1.0 takes the close of its
        connection for the end of its answer.
        """
        self.plain.events = self.plain.events[:1]
        self.plain.faults.cuts = True
        with self.assertRaises(ConnectionResetError):
            await self.read_in_http_1_0()

    async def test_killed_gateway_resets_answers_in_http_1_0(self):
        """Guards against an answer that looks complete as its gateway ends."""
        self.plain.run_time = asyncio.Event().wait
        with self.assertRaises(ConnectionResetError):
            await self.read_in_http_1_0(lambda: self.gateway.process.kill())

    async def test_sidecar_stops_at_once(self):
        await self.begin_all()

        async def listening():
            return self.sidecar.logged('listening')

        await self.wait_until(listening)
        self.assertEqual(0, await self.sidecar.stop())
