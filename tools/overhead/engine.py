"""A model engine that costs little: ``python -m tools.overhead.engine``.

Arguments: a port and the pace in ms. It streams ``max_tokens`` events of
one size, all streams in step as a batch gives them; pace 0 sends an answer
in one piece. It has slots, takes every order, and never refuses.
"""

import asyncio
import json
import sys

from berylhollow.util import loop

HOST = '127.0.0.1'
ADAPTER = 'a1@1'
TOKEN_BYTES = 150
BACKLOG_BYTES = 64 * 1024
HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'X-Engine-Adapter: a1@1\r\nX-Engine-Epoch: epoch-1\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
EVENT = b'data: '.ljust(TOKEN_BYTES - 2, b'x') + b'\n\n'
CHUNK = b'%x\r\n%b\r\n' % (len(EVENT), EVENT)
DONE = b'data: [DONE]\n\n'
LAST_CHUNK = b'%x\r\n%b\r\n0\r\n\r\n' % (len(DONE), DONE)
STATUS = {
    'epoch': 'epoch-1',
    'base_model': 'base',
    'slots': [{'slot': number, 'state': 'empty'} for number in range(4)],
    'batch_limit': 4096,
    'running': 0,
    'waiting': 0,
    'highest_fence': 0,
}


class Engine:
    """Serves connections; ``left`` counts the events a stream still has."""

    def __init__(self, pace_ms: float):
        self.pace_ms = pace_ms
        self.left: dict[asyncio.StreamWriter, int] = {}

    async def serve(self, reader, writer) -> None:
        try:
            while True:
                await self._answer(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.left.pop(writer, None)
            writer.close()

    async def _answer(self, reader, writer) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        body = b''
        for line in head.lower().split(b'\r\n'):
            if line.startswith(b'content-length:'):
                body = await reader.readexactly(int(line.split(b':')[1]))
        path = head.split(b' ', 2)[1]
        if path == b'/engine/status':
            writer.write(_json(STATUS))
        elif path.startswith(b'/engine/'):
            writer.write(_json({}))
        else:
            self._stream(writer, json.loads(body)['max_tokens'])

    def _stream(self, writer, tokens: int) -> None:
        if self.pace_ms:
            writer.write(HEAD)
            self.left[writer] = tokens
        else:
            writer.write(HEAD + CHUNK * tokens + LAST_CHUNK)

    async def step(self) -> None:
        while True:
            await asyncio.sleep(self.pace_ms / 1000)
            for writer in list(self.left):
                if writer.transport.get_write_buffer_size() < BACKLOG_BYTES:
                    self._token(writer)

    def _token(self, writer) -> None:
        self.left[writer] -= 1
        writer.write(CHUNK)
        if not self.left[writer]:
            writer.write(LAST_CHUNK)
            del self.left[writer]


def _json(value: dict) -> bytes:
    body = json.dumps(value).encode()
    return (
        b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
        b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
    )


async def serve(port: int, pace_ms: float) -> None:
    engine = Engine(pace_ms)
    server = await asyncio.start_server(engine.serve, HOST, port, backlog=4096)
    async with server:
        if pace_ms:
            await engine.step()
        await server.serve_forever()


def main() -> None:
    port, pace_ms = int(sys.argv[1]), float(sys.argv[2])
    with asyncio.Runner(loop_factory=loop.new_event_loop) as runner:
        runner.run(serve(port, pace_ms))


if __name__ == '__main__':
    main()
