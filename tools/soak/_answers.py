"""Answers of the soak's endpoints: whole and cut ones, in every framing."""

import asyncio
import dataclasses
import random

from aiohttp import web

from tools.soak import _proxy

PLAN_HEADER = 'Soak-Answer'
CUT_SHARE = 0.03
EVENTS = 3


@dataclasses.dataclass(frozen=True)
class Plan:
    """How an endpoint is to answer a request.

    ``framing`` is what marks the end of the body: 'length', 'chunks' or
    'connection'. ``cut`` is where it is broken off: '' for a whole answer,
    'before' its content, 'inside' an event or a plain body, or 'between' two
    events. ``end`` is how: 'close', 'reset', or 'framed' for a body whose
    framing is ended properly.
    """

    framing: str = 'length'
    kind: str = 'plain'
    cut: str = ''
    end: str = 'close'

    @property
    def looks_whole(self) -> bool:
        """Whether the bytes of a cut answer are those of a whole one."""
        if self.framing != 'connection' or self.end == 'reset':
            return False
        return self.kind == 'plain' or self.cut == 'between'

    def body(self, request_id: str) -> bytes:
        """Return the whole body."""
        text = f'answer to {request_id}'
        if self.kind == 'plain':
            return text.encode()
        events = (f'id: {n}\ndata: {text}\n\n' for n in range(EVENTS))
        return ''.join(events).encode()

    def sent_body(self, request_id: str) -> bytes:
        """Return the part of the body that is sent."""
        body = self.body(request_id)
        if not self.cut:
            return body
        if self.cut == 'before':
            return b''
        if self.cut == 'between':
            return body[: len(body) // EVENTS]
        return body[: len(body) // 2]

    def whole(self) -> 'Plan':
        """Return the plan of the same answer that is not cut."""
        return dataclasses.replace(self, cut='', end='close')

    def encode(self) -> str:
        """Return the value of the header that carries the plan."""
        return ' '.join((self.framing, self.kind, self.cut or '-', self.end))


def decode(text: str | None) -> Plan:
    """Return the plan of a header, that of a plain answer without one."""
    if not text:
        return Plan()
    framing, kind, cut, end = text.split()
    return Plan(framing, kind, '' if cut == '-' else cut, end)


def draw(number: int) -> Plan:
    """Return the plan of the request with a number."""
    chance = random.Random(number)
    framing = chance.choice(('length', 'chunks', 'connection'))
    kind = chance.choice(('plain', 'events'))
    if chance.random() >= CUT_SHARE:
        return Plan(framing, kind)
    end = chance.choice(('close', 'reset', 'framed'))
    if end == 'framed':
        return Plan(
            chance.choice(('length', 'chunks')), 'events', 'inside', end
        )
    places = ('before', 'inside', 'between')[: 2 if kind == 'plain' else 3]
    return Plan(framing, kind, chance.choice(places), end)


async def send_whole(
    request: web.BaseRequest, headers: dict[str, str], body: bytes, pause_s
) -> web.StreamResponse:
    """Send a whole answer in chunks, with a pause in it."""
    response = web.StreamResponse(headers=headers)
    await response.prepare(request)
    for part in _halves(body):
        await response.write(part)
        await asyncio.sleep(pause_s)
    await response.write_eof()
    return response


async def send_raw(
    request: web.BaseRequest,
    headers: list[tuple[str, str]],
    plan: Plan,
    request_id: str,
    pause_s: float,
) -> web.Response:
    """Send an answer as planned, with a pause in it; end the connection.

    It is written without the library, which ends what it frames. The
    returned response is never sent.
    """
    body = plan.sent_body(request_id)
    whole = body if plan.end == 'framed' else plan.body(request_id)
    lines = ['HTTP/1.1 200 OK', 'Connection: close']
    if plan.framing == 'length':
        lines.append(f'Content-Length: {len(whole)}')
    if plan.framing == 'chunks':
        lines.append('Transfer-Encoding: chunked')
    lines += [f'{name}: {value}' for name, value in headers]
    transport = request.transport
    if transport is None:
        raise ConnectionResetError
    transport.write('\r\n'.join([*lines, '', '']).encode())
    for part in _halves(body):
        if plan.framing == 'chunks':
            part = b'%x\r\n%b\r\n' % (len(part), part)
        transport.write(part)
        await asyncio.sleep(pause_s)
    if plan.framing == 'chunks' and plan.end == 'framed':
        transport.write(b'0\r\n\r\n')
    if plan.end == 'reset':
        _proxy.reset_on_close(transport)
    transport.close()
    return web.Response()


def _halves(body: bytes) -> list[bytes]:
    middle = len(body) // 2
    return [part for part in (body[:middle], body[middle:]) if part]
