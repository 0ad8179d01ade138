"""Callers' requests and answers in the platform's own form."""

import dataclasses
import hashlib
import json

from aiohttp import web

from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow.platform import _runs
from berylhollow.util import hop_by_hop
from berylhollow import workspaces

MODEL = 'Model'
TOKENS = 'Token-Count'
KEY = 'Api-Key'
DIGEST_BYTES = 16
MS_PER_SECOND = 1000
LONGEST_DEADLINE_MS = 24 * 60 * 60 * 1000

NOT_PASSED_ON = hop_by_hop.HEADERS | {
    'content-length',
    'host',
    KEY.lower(),
    _runs.WORKSPACE.lower(),
}
NOT_RELAYED = hop_by_hop.HEADERS | {'host'}

PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that tell callers that the request has not run and never will."""

NO_PROMISE = 502


class CallerDialect:
    """Decode callers' requests and write answers of our own."""

    error_events = False

    def echoed_id(self, headers) -> str | None:
        """Return the caller's own id of its request."""
        return headers.get(_runs.REQUEST_ID)

    def accept(
        self, request: web.BaseRequest, default_deadline_ms: int
    ) -> 'CallerDraft':
        """Take the head of a request; every path is a caller's."""
        return CallerDraft(request, default_deadline_ms, _head(request))

    def error_response(
        self,
        kind: errors.Kind,
        ran: errors.Ran,
        request_id: str,
        retry_after_ms: int = 0,
        detail: str = '',
    ) -> web.Response:
        """Return the whole answer for an error.

        Of a request that may have run no status is given that callers take
        for a promise that it has not.
        """
        answer = errors.ANSWERS[kind]
        status = answer.status
        if status in PROMISES and ran is not errors.Ran.NOT_RUN:
            status = NO_PROMISE
        if kind is errors.Kind.QUARANTINED or (
            ran is errors.Ran.NOT_RUN and status >= 500
        ):
            status = 503
        headers = {'Content-Type': 'application/json'}
        if request_id:
            headers[_runs.REQUEST_ID] = request_id
        if retry_after_ms > 0:
            seconds = retry_after_ms / MS_PER_SECOND
            headers['Retry-After'] = f'{seconds:.3f}'.rstrip('0').rstrip('.')
        members = {
            'kind': kind.value,
            'ran': ran.value,
            'title': answer.title,
            'detail': detail or answer.title,
        }
        return web.Response(
            status=status, headers=headers, body=json.dumps(members).encode()
        )

    def relayed_headers(
        self, headers: tuple[messages.Header, ...], _request_id: str
    ) -> list[tuple[str, str]]:
        """Return the headers of an endpoint's answer for its caller."""
        named = hop_by_hop.named_by(
            header.value
            for header in headers
            if header.name.lower() == 'connection'
        )
        dropped = NOT_RELAYED | named
        return [
            (header.name, header.value)
            for header in headers
            if header.name.lower() not in dropped
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDraft:
    """A caller's request whose body is still to come."""

    request: web.BaseRequest
    default_deadline_ms: int
    head: events.RequestHead

    def build(self, request_id: str, body: bytes) -> events.Request:
        """Return the request as the reducer takes it."""
        request = self.request
        headers = request.headers
        prompt_tokens, output_tokens = _tokens(headers.get(TOKENS, ''))
        return events.Request(
            request_id=request_id,
            caller='',
            service='',
            adapter=_adapter(headers.get(MODEL, '')),
            key=None,
            priority=0,
            deadline_ms=_deadline_ms(headers, self.default_deadline_ms),
            fingerprint=_fingerprint(request, body),
            method=request.method,
            path=request.raw_path,
            headers=passed_headers(headers),
            body=body,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            host=self.head.host,
            credential=self.head.credential,
        )


def _head(request: web.BaseRequest) -> events.RequestHead:
    headers = request.headers
    return events.RequestHead(
        headers.get('Host', ''),
        request.raw_path,
        workspaces.credential(headers.getall(KEY, ())),
        sum(_tokens(headers.get(TOKENS, ''))),
    )


def passed_headers(headers) -> tuple[messages.Header, ...]:
    """Return the headers that concern more than the caller's connection."""
    named = hop_by_hop.named_by(headers.getall('Connection', ()))
    dropped = NOT_PASSED_ON | named
    return tuple(
        messages.Header(name, value)
        for name, value in headers.items()
        if name.lower() not in dropped
    )


def _adapter(model: str) -> messages.AdapterVersion | None:
    """Return the adapter that is named after the model, if one is.

    Its version is empty: callers always mean the newest.
    """
    if '/' not in model:
        return None
    return messages.AdapterVersion(model, '')


def _tokens(text: str) -> tuple[int, int]:
    """Return the size of the prompt and the most that may be generated."""
    first, _, second = text.partition(',')
    if not first.strip().isdigit() or not second.strip().isdigit():
        return 0, 0
    return int(first), int(second)


def _deadline_ms(headers, default_ms: int) -> int:
    """Return how long the caller waits, by its own word."""
    text = headers.get(_runs.DEADLINE, '').strip()
    if not text.isdigit():
        return default_ms
    return max(1, min(int(text), LONGEST_DEADLINE_MS))


def _fingerprint(request: web.BaseRequest, body: bytes) -> str:
    """Return the digest that tells whether two requests are the same."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (request.method, request.raw_path, request.host):
        data = part.encode(errors='surrogateescape')
        digest.update(b'%d:' % len(data))
        digest.update(data)
    digest.update(body)
    return digest.hexdigest()
