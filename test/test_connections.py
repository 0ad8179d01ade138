"""Tests of failures on callers' connections that no handler answered."""

import unittest

import aiohttp
from aiohttp import web

from berylhollow.gateway import _connections
from berylhollow.gateway import _dialect
from berylhollow.gateway import _parsing
from berylhollow import platform

DIALECTS = {
    'Request-Id': platform.CallerDialect(),
    'X-Request-Id': _dialect.NativeDialect(),
}


class UnansweredFailureTest(unittest.IsolatedAsyncioTestCase):
    async def ask(self, handler, dialect, headers, header_bytes=8190):
        """Return status and headers of the response to one request."""
        server = _connections.Server(
            handler, _parsing.RequestIds(), 10, dialect, lambda: header_bytes
        )
        runner = web.ServerRunner(server)
        await runner.setup()
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        try:
            async with aiohttp.ClientSession() as session:
                url = f'http://127.0.0.1:{port}/'
                async with session.get(url, headers=headers) as response:
                    return response.status, response.headers
        finally:
            await runner.cleanup()

    async def test_response_has_the_callers_request_id(self):
        """Guards against error responses with a request id of the gateway.

        A handler raises an unexpected error or a timeout. The caller got a
        500 with an id that it had never sent, which looked like the answer
        to another request.
        """
        for error in (KeyError('defect'), TimeoutError()):

            async def handler(request, error=error):
                raise error

            for name, dialect in DIALECTS.items():
                sent = {name: '2e36341d9cc94644'}
                status, headers = await self.ask(handler, dialect, sent)
                self.assertEqual(500, status)
                self.assertEqual(sent[name], headers[name])

    async def test_header_line_of_the_configured_length_is_read(self):
        """Guards against refusals of headers that the operator allows."""

        async def handler(request):
            return web.Response()

        for length, expected in ((12_000, 200), (17_000, 400)):
            with self.subTest(length):
                status, _ = await self.ask(
                    handler,
                    platform.CallerDialect(),
                    {'Session': 'x' * length},
                    header_bytes=16_384,
                )
                self.assertEqual(expected, status)
