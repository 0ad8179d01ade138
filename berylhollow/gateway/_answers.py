"""The form of answers to callers: problem details and headers."""

import json

from aiohttp import web

from berylhollow import errors
from berylhollow.gateway import _parsing
from berylhollow import messages

PROBLEM_TYPE = 'application/problem+json'
EVENT_STREAM_TYPE = 'text/event-stream'
TYPE_PREFIX = 'urn:berylhollow:error:'
SERVER = 'berylhollow'
MS_PER_SECOND = 1000

# Said anew for each connection; the length goes through the library.
NOT_RELAYED = frozenset(
    {
        'connection',
        'date',
        'keep-alive',
        'proxy-authenticate',
        'proxy-connection',
        'server',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-request-id',
    }
)


def problem(
    kind: errors.Kind, ran: errors.Ran, detail: str, request_id: str
) -> dict[str, object]:
    """Return the members of the problem details (RFC 9457) of an error."""
    answer = errors.ANSWERS[kind]
    return {
        'type': TYPE_PREFIX + kind.value,
        'title': answer.title,
        'status': answer.status,
        'detail': detail or answer.title,
        'kind': kind.value,
        'ran': ran.value,
        'request_id': request_id,
        'retry': answer.retry.value,
    }


def error_response(
    kind: errors.Kind,
    ran: errors.Ran,
    request_id: str,
    retry_after_ms: int = 0,
    detail: str = '',
) -> web.Response:
    """Return the whole answer for an error."""
    members = problem(kind, ran, detail, request_id)
    headers = {
        'Content-Type': PROBLEM_TYPE,
        'Server': SERVER,
        _parsing.REQUEST_ID_HEADER: request_id,
    }
    if retry_after_ms > 0:
        headers['Retry-After'] = str(-(-retry_after_ms // MS_PER_SECOND))
    return web.Response(
        status=errors.ANSWERS[kind].status,
        headers=headers,
        body=json.dumps(members).encode(),
    )


def error_event(kind: errors.Kind, ran: errors.Ran, request_id: str) -> bytes:
    """Return the event that tells a stream's reader that it has failed.

    The blank lines first end whatever event was cut short. Clients of the
    usual model APIs look for a member ``error``.
    """
    members = problem(kind, ran, '', request_id)
    members['message'] = members['title']
    data = json.dumps({'error': members})
    return f'\n\nevent: error\ndata: {data}\n\n'.encode()


def json_response(members: object, status: int = 200) -> web.Response:
    """Return a whole answer of our own."""
    return json_body(json.dumps(members).encode(), status)


def json_body(body: bytes, status: int = 200) -> web.Response:
    """Return a whole answer of our own whose JSON is there already."""
    return web.Response(
        status=status,
        headers={'Content-Type': 'application/json', 'Server': SERVER},
        body=body,
    )


def relayed_headers(
    headers: tuple[messages.Header, ...], request_id: str
) -> list[tuple[str, str]]:
    """Return the headers of an endpoint's answer as its caller sees them."""
    dropped = NOT_RELAYED
    for header in headers:
        if header.name.lower() == 'connection':
            dropped = dropped.union(header.value.lower().split(', '))
    relayed = [
        (header.name, header.value)
        for header in headers
        if header.name.lower() not in dropped
    ]
    relayed.append(('Server', SERVER))
    relayed.append((_parsing.REQUEST_ID_HEADER, request_id))
    return relayed


def text_response(text: bytes) -> web.Response:
    """Return a page of plain text, as metrics are read."""
    return web.Response(
        headers={
            'Content-Type': 'text/plain; version=0.0.4; charset=utf-8',
            'Server': SERVER,
        },
        body=text,
    )
