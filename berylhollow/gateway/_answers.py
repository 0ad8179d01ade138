"""Responses to callers: problem details, pages and headers."""

import json

from aiohttp import web

from berylhollow import errors
from berylhollow.gateway import _parsing
from berylhollow import messages

PROBLEM_MEDIA_TYPE = 'application/problem+json'
PROBLEM_TYPE_PREFIX = 'urn:berylhollow:error:'
SERVER_NAME = 'berylhollow'
MS_PER_SECOND = 1000

# Headers that are set anew for each connection. The HTTP library handles
# Content-Length.
NOT_RELAYED_HEADERS = frozenset(
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


def problem_details(
    kind: errors.Kind, ran: errors.Ran, detail: str, request_id: str
) -> dict[str, object]:
    """Return the members of the problem details (RFC 9457) of an error."""
    answer = errors.ANSWERS[kind]
    return {
        'type': PROBLEM_TYPE_PREFIX + kind.value,
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
    """Return the complete response for an error."""
    members = problem_details(kind, ran, detail, request_id)
    headers = {
        'Content-Type': PROBLEM_MEDIA_TYPE,
        'Server': SERVER_NAME,
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
    """Return the server-sent event that reports a stream's failure.

    The leading blank lines end an event that was cut short. Clients of the
    common model APIs look for a member ``error``.
    """
    members = problem_details(kind, ran, '', request_id)
    members['message'] = members['title']
    data = json.dumps({'error': members})
    return f'\n\nevent: error\ndata: {data}\n\n'.encode()


def json_response(members: object, status: int = 200) -> web.Response:
    """Return a response with ``members`` as JSON."""
    return raw_json_response(json.dumps(members).encode(), status)


def raw_json_response(body: bytes, status: int = 200) -> web.Response:
    """Return a response whose body is already encoded JSON."""
    return web.Response(
        status=status,
        headers={'Content-Type': 'application/json', 'Server': SERVER_NAME},
        body=body,
    )


def relayed_headers(
    headers: tuple[messages.Header, ...], request_id: str
) -> list[tuple[str, str]]:
    """Return the headers of an endpoint's answer for its caller."""
    dropped = NOT_RELAYED_HEADERS
    for header in headers:
        if header.name.lower() == 'connection':
            dropped = dropped.union(header.value.lower().split(', '))
    relayed = [
        (header.name, header.value)
        for header in headers
        if header.name.lower() not in dropped
    ]
    relayed.append(('Server', SERVER_NAME))
    relayed.append((_parsing.REQUEST_ID_HEADER, request_id))
    return relayed


def prometheus_response(text: bytes) -> web.Response:
    """Return a response in the Prometheus text format."""
    return web.Response(
        headers={
            'Content-Type': 'text/plain; version=0.0.4; charset=utf-8',
            'Server': SERVER_NAME,
        },
        body=text,
    )
