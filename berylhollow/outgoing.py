"""Outgoing HTTP calls of which it is known whether they took effect.

Every failure is one of three: ``NotDone`` if no byte of the call left,
``Refused`` if the server said no before doing anything, else ``MaybeDone``.
"""

import dataclasses
import functools
import json
import os
import socket
import struct
import typing

import aiohttp
from aiohttp import client_proto

CONNECT_TIMEOUT_MS = 1000
CALL_TIMEOUT_MS = 5000
MS_PER_SECOND = 1000
BUFFER_BYTES = 128 * 1024
SILENCE_MS = 2000
"""After so long without a sign from the other side a connection is dead. A
lost packet is sent again after 0.2, 0.4 and 0.8 s, so one in thirty that are
lost don't end it; callers leave a stream that pauses for 2 s."""

PROBE_S = 1
"""An idle connection is probed as often, the least that TCP counts in."""

RESET_ON_CLOSE = struct.pack('ii', 1, 0)
REFUSING_STATUSES = frozenset({400, 404, 405, 409, 410, 413, 422, 429, 503})


class CallError(Exception):
    """A call that brought no answer, or one that says no."""


class NotDone(CallError):
    """The connection could not be opened: the call was never sent."""


class MaybeDone(CallError):
    """The call may have left and no whole answer came back."""


class Refused(CallError):
    """The server refused the call, which has taken no effect.

    ``kind`` is the server's own code, ``detail`` the rest of its answer.
    """

    def __init__(self, kind: str, status: int, detail: dict | None = None):
        super().__init__(f'{kind} (HTTP {status})')
        self.kind = kind
        self.status = status
        self.detail = detail or {}


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer."""

    status: int
    body: bytes

    def value(self) -> dict:
        """Return the JSON object of the body; ``MaybeDone`` if none."""
        try:
            value = json.loads(self.body)
        except ValueError as error:
            raise MaybeDone('the answer is not JSON') from error
        if not isinstance(value, dict):
            raise MaybeDone('the answer is not a JSON object')
        return value


class Connection(client_proto.ResponseHandler):
    """A connection that tells a reset from a close, and drops what it holds.

    libuv reports the end of a connection when a reset arrives together with
    the last bytes, and does not look further. Guards against a crashed
    endpoint whose half answer, without a length, looks whole: what the
    kernel says to a read of the socket is the truth.
    """

    reset = False

    def close(self) -> None:
        """Close without sending what is still held here."""
        self.abort()

    def eof_received(self) -> None:
        """Look whether the connection was closed, or reset."""
        opened = self.transport.get_extra_info('socket')
        # The transport's own socket can't be read; a copy of it can.
        with socket.socket(fileno=os.dup(opened.fileno())) as copy:
            try:
                copy.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            except OSError:
                self.reset = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End with an error if the connection was reset."""
        if exc is None and self.reset:
            exc = ConnectionResetError('reset by the peer')
        super().connection_lost(exc)


class Connector(aiohttp.TCPConnector):
    """A connector whose connections tell a reset from a close."""

    def __init__(self, **options):
        super().__init__(**options)
        self._factory = functools.partial(Connection, loop=self._loop)


class Response(aiohttp.ClientResponse):
    """A response that remembers its connection.

    The library takes the end of a connection for the end of a body without
    a length, also when the connection was reset. Guards against an answer
    that was cut off and looks whole.
    """

    protocol: typing.Any = None

    async def start(self, connection):
        self.protocol = connection.protocol
        return await super().start(connection)

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection ends the body."""
        coding = self.headers.get('Transfer-Encoding', '')
        return self.content_length is None and coding.lower() != 'chunked'

    @property
    def was_reset(self) -> bool:
        """Whether the connection ended with an error."""
        return isinstance(self.protocol.exception(), OSError)


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request and turn its failures into ours.

    Guards against a call that runs twice. aiohttp sends GET, PUT, DELETE
    and the like again when a connection breaks before the answer, also when
    the server had read the request: a PUT that must not be repeated would
    show as two runs in the server's record. It does so on its own kinds of
    error only, and none of those leaves this function but for a failed
    connect, which it does not repeat.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientError, OSError) as error:
        raise MaybeDone(str(error) or type(error).__name__) from error


def open_session(
    reuse: bool = True, buffer_bytes: int = BUFFER_BYTES
) -> aiohttp.ClientSession:
    """Return a session that sends each call at most once.

    Without ``reuse`` every call has a connection of its own. Of an answer
    that its reader does not take, about ``buffer_bytes`` are held here, and
    as much again in the kernel.
    """
    connector = Connector(
        limit=0,
        force_close=not reuse,
        socket_factory=functools.partial(open_socket, buffer_bytes),
    )
    return aiohttp.ClientSession(
        connector=connector,
        # The library holds up to twice this before it stops to read.
        read_bufsize=buffer_bytes // 2,
        middlewares=(send_once,),
        cookie_jar=aiohttp.DummyCookieJar(),
        response_class=Response,
        auto_decompress=False,
    )


def open_socket(buffer_bytes: int, address: tuple) -> socket.socket:
    """Return the socket of a connection to an address of ``getaddrinfo``.

    It receives no more than it may hold at once. Guards against one read of
    a quick answer that is larger than all that its reader is meant to hold:
    the event loop reads what the kernel has.

    It is reset when it is closed. Guards against a call that was broken off
    and still arrives: the kernel goes on sending what a closed connection
    holds, and where the path had gone silent an endpoint would run requests
    seconds after their callers had left. A reset drops them. Calls that are
    over have nothing to lose by it.

    It is given up after ``SILENCE_MS``. Guards against kept connections that
    go silent without an error: each would take a request to its time limit
    though the endpoint answers over new ones.
    """
    family, kind, protocol = address[:3]
    opened = socket.socket(family, kind, protocol)
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes // 2),
        (socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_S),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS),
    ):
        opened.setsockopt(level, option, value)
    return opened


def time_limit(timeout_ms: int | None) -> aiohttp.ClientTimeout:
    """Return the limits of a call; None leaves all but the connect open."""
    return aiohttp.ClientTimeout(
        total=None if timeout_ms is None else timeout_ms / MS_PER_SECOND,
        sock_connect=CONNECT_TIMEOUT_MS / MS_PER_SECOND,
    )


async def open_call(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    timeout_ms: int | None = None,
    **options,
) -> aiohttp.ClientResponse:
    """Send a call and return its answer when the headers are here.

    Redirects are not followed: one with status 307 would send the call
    twice. Raises ``NotDone`` or ``MaybeDone``.
    """
    try:
        return await session.request(
            method,
            url,
            timeout=time_limit(timeout_ms),
            allow_redirects=False,
            **options,
        )
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
        aiohttp.InvalidURL,
    ) as error:
        raise NotDone(str(error)) from error
    except (aiohttp.ClientError, OSError) as error:
        raise MaybeDone(str(error) or type(error).__name__) from error


async def read_body(response: aiohttp.ClientResponse) -> bytes:
    """Return the whole body; ``MaybeDone`` if it ends early."""
    try:
        return await response.read()
    except (aiohttp.ClientError, OSError) as error:
        raise MaybeDone(str(error) or type(error).__name__) from error


async def call(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    timeout_ms: int | None = CALL_TIMEOUT_MS,
    **options,
) -> Reply:
    """Send a call and return its whole answer if that has status 2xx.

    Raises ``NotDone``, ``MaybeDone`` or ``Refused``.
    """
    response = await open_call(session, method, url, timeout_ms, **options)
    async with response:
        reply = Reply(response.status, await read_body(response))
    if reply.status // 100 == 2:
        return reply
    raise refusal(reply)


def refusal(reply: Reply) -> CallError:
    """Return what an answer that is no success means.

    Only an answer with a code of the server's own is a refusal. A bare 503
    may come from something in between that had passed the call on.
    """
    if reply.status in REFUSING_STATUSES:
        try:
            detail = reply.value()
        except MaybeDone:
            detail = {}
        kind = detail.get('error')
        if isinstance(kind, str):
            return Refused(kind, reply.status, detail)
    return MaybeDone(f'HTTP {reply.status}')
