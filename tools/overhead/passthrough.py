"""One bare hop: ``python -m tools.overhead.passthrough PORT TARGET_PORT``.

What aiohttp costs by itself, on the same event loop: no limits, no checks,
no acknowledgements, nothing kept.
"""

import asyncio
import sys

import aiohttp
from aiohttp import web

from berylhollow.util import loop

HOST = '127.0.0.1'
BACKLOG = 4096


class Hop:
    """Passes each request on and its answer back, chunk by chunk."""

    def __init__(self, target: int):
        self.target = f'http://{HOST}:{target}'
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        async with self.session.request(
            request.method,
            self.target + request.path,
            data=body,
            headers={'Content-Type': 'application/json'},
        ) as answer:
            response = web.StreamResponse(status=answer.status)
            response.content_type = answer.content_type
            response.enable_chunked_encoding()
            await response.prepare(request)
            async for chunk in answer.content.iter_any():
                await response.write(chunk)
            await response.write_eof()
        return response


async def serve(port: int, target: int) -> None:
    hop = Hop(target)
    server = web.Server(hop.handle, access_log=None)
    running = asyncio.get_running_loop()
    await running.create_server(server, HOST, port, backlog=BACKLOG)
    await asyncio.Event().wait()


def main() -> None:
    with asyncio.Runner(loop_factory=loop.new_event_loop) as runner:
        runner.run(serve(int(sys.argv[1]), int(sys.argv[2])))


if __name__ == '__main__':
    main()
