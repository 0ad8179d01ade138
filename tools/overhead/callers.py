"""Callers that send requests and note when the answers come."""

import asyncio
import dataclasses
import json
import time

HOST = '127.0.0.1'
LAST_CHUNK = b'0\r\n\r\n'
MILLISECONDS = 1000


@dataclasses.dataclass(slots=True)
class Times:
    """Milliseconds, one entry a request, and between reads of streams."""

    first: list[float] = dataclasses.field(default_factory=list)
    whole: list[float] = dataclasses.field(default_factory=list)
    gaps: list[float] = dataclasses.field(default_factory=list)


def post(tokens: int, prompt_bytes: int) -> bytes:
    """Return a streamed request as it goes over the wire."""
    body = json.dumps(
        {
            'model': 'a1@1',
            'stream': True,
            'max_tokens': tokens,
            'prompt': 'x' * prompt_bytes,
        }
    ).encode()
    return (
        b'POST /v1/completions HTTP/1.1\r\nHost: gateway\r\n'
        b'Content-Type: application/json\r\nX-Caller: firm-1\r\n'
        b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
    )


class Caller(asyncio.Protocol):
    """Sends ``count`` requests one after another on one connection.

    ``done`` is set at the last byte of the last answer. One that stalls
    reads the head of its answer and no more.
    """

    def __init__(self, request: bytes, count: int, times: Times, stall=False):
        self.request = request
        self.left = count
        self.times = times
        self.stall = stall
        self.tail = b''
        self.began = 0.0
        self.read_at = 0.0
        self.done = asyncio.get_running_loop().create_future()

    def connection_made(self, transport) -> None:
        self.transport = transport
        self._send()

    def _send(self) -> None:
        self.tail = b''
        self.read_at = 0.0
        self.began = time.perf_counter()
        self.transport.write(self.request)

    def data_received(self, data: bytes) -> None:
        now = time.perf_counter()
        if self.read_at:
            self.times.gaps.append((now - self.read_at) * MILLISECONDS)
        else:
            self._check(data)
            self.times.first.append((now - self.began) * MILLISECONDS)
        self.read_at = now
        if self.stall:
            self.transport.pause_reading()
            self.done.set_result(None)
            return
        self.tail = (self.tail + data)[-len(LAST_CHUNK) :]
        if self.tail == LAST_CHUNK:
            self._answered(now)

    def _check(self, data: bytes) -> None:
        if not data.startswith(b'HTTP/1.1 200 '):
            self.done.set_exception(RuntimeError(data.decode()))
            self.transport.abort()

    def _answered(self, now: float) -> None:
        self.times.whole.append((now - self.began) * MILLISECONDS)
        self.left -= 1
        if self.left:
            self._send()
        else:
            self.done.set_result(None)
            self.transport.close()

    def connection_lost(self, exc) -> None:
        if not self.done.done():
            self.done.set_exception(exc or ConnectionError('cut off'))


async def call(
    port: int, callers: int, request: bytes, count: int, stall: bool = False
) -> tuple[Times, list[asyncio.Transport]]:
    """Let callers send; return their times once all have their answers."""
    times = Times()
    running = asyncio.get_running_loop()
    opened = []
    for _ in range(callers):
        opened.append(
            await running.create_connection(
                lambda: Caller(request, count, times, stall), HOST, port
            )
        )
    await asyncio.gather(*(caller.done for _, caller in opened))
    return times, [transport for transport, _ in opened]
