"""Decode callers' requests and encode responses in the platform's format."""

import collections.abc
import dataclasses
import json

from aiohttp import web

from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow.platform import _endpoint_calls
from berylhollow.platform import _prompt
from berylhollow.util import digests
from berylhollow.util import hop_by_hop
from berylhollow.util import texts
from berylhollow import workspaces

MODEL_HEADER = 'Model'
TOKEN_COUNT_HEADER = 'Token-Count'
PROMPT_PARTS_HEADER = 'Prompt-Prefix'
API_KEY_HEADER = 'Api-Key'
LAST_EVENT_HEADER = 'Last-Event-Id'
RESUMED_STREAM_HEADER = 'Resumes'
MAX_ID_LENGTH = 256
READ_HEADERS = (
    'Host',
    MODEL_HEADER,
    TOKEN_COUNT_HEADER,
    _endpoint_calls.REQUEST_ID_HEADER,
)
"""Headers whose text is used and that must be valid. Others are either passed
on unread or mean nothing if they are malformed."""

DIGEST_BYTES = 16
MS_PER_SECOND = 1000
MAX_DEADLINE_MS = 24 * 60 * 60 * 1000
MAX_TOKENS = 10**9
MAX_DIGITS = 15
TOO_LARGE = 10**MAX_DIGITS

NOT_FORWARDED_TO_ENDPOINT = hop_by_hop.HEADERS | {
    'content-length',
    'host',
    API_KEY_HEADER.lower(),
    _endpoint_calls.WORKSPACE_HEADER.lower(),
}
NOT_RELAYED_TO_CALLER = hop_by_hop.HEADERS | {'host'}

NEVER_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which callers know that a request has not run and never will."""

MAY_HAVE_RUN_STATUS = 502


class CallerDialect:
    """Decodes callers' requests and builds the gateway's own responses."""

    sends_error_events = False

    def caller_request_id(self, headers) -> str | None:
        """Return the request id that the caller sent, if it is text."""
        text = headers.get(_endpoint_calls.REQUEST_ID_HEADER)
        if text is None or not texts.is_encodable(text):
            return None
        return text

    def parse_head(
        self, request: web.BaseRequest, default_deadline_ms: int
    ) -> 'CallerDraft':
        """Decode the head of a request; callers may use every path.

        Raises ``errors.BerylhollowError``.
        """
        _check_text(request)
        return CallerDraft(
            request, default_deadline_ms, _request_head(request)
        )

    def error_response(
        self,
        kind: errors.Kind,
        ran: errors.Ran,
        request_id: str,
        retry_after_ms: int = 0,
        detail: str = '',
    ) -> web.Response:
        """Return the complete response for an error.

        A request that may have run never gets a status of
        ``NEVER_RUN_STATUSES``, which callers take as a promise that it has
        not run.
        """
        error_answer = errors.ANSWERS[kind]
        status = error_answer.status
        if status in NEVER_RUN_STATUSES and ran is not errors.Ran.NOT_RUN:
            status = MAY_HAVE_RUN_STATUS
        if kind is errors.Kind.QUARANTINED or (
            ran is errors.Ran.NOT_RUN and status >= 500
        ):
            status = 503
        headers = {'Content-Type': 'application/json'}
        if request_id:
            headers[_endpoint_calls.REQUEST_ID_HEADER] = request_id
        if retry_after_ms > 0:
            seconds = retry_after_ms / MS_PER_SECOND
            headers['Retry-After'] = f'{seconds:.3f}'.rstrip('0').rstrip('.')
        document = {
            'kind': kind.value,
            'ran': ran.value,
            'title': error_answer.title,
            'detail': detail or error_answer.title,
        }
        return web.Response(
            status=status, headers=headers, body=json.dumps(document).encode()
        )

    def relayed_headers(
        self, headers: tuple[messages.Header, ...], _request_id: str
    ) -> list[tuple[str, str]]:
        """Return the headers of a response to relay to the caller."""
        named = hop_by_hop.headers_named_by(
            header.value
            for header in headers
            if header.name.lower() == 'connection'
        )
        dropped = NOT_RELAYED_TO_CALLER | named
        return [
            (header.name, header.value)
            for header in headers
            if header.name.lower() not in dropped
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDraft:
    """A caller's request whose body has not been read yet."""

    request: web.BaseRequest
    default_deadline_ms: int
    head: events.RequestHead

    def build(self, request_id: str, body: bytes) -> events.Request:
        """Return the request as an event for the reducer."""
        request = self.request
        headers = request.headers
        prompt_tokens, output_tokens = _token_counts(
            headers.get(TOKEN_COUNT_HEADER, '')
        )
        return events.Request(
            request_id=request_id,
            caller='',
            service='',
            adapter=_adapter(headers.get(MODEL_HEADER, '')),
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
            shared_parts=_prompt.shared_parts(
                headers.getall(PROMPT_PARTS_HEADER, ())
            ),
            caller_request_id=_request_id(
                headers.getall(_endpoint_calls.REQUEST_ID_HEADER, ())
            ),
            resumption=_resumption(headers),
        )


def _request_id(values: collections.abc.Sequence[str]) -> str:
    """Return the id that a header names, '' unless it is one readable id."""
    if len(values) != 1:
        return ''
    text = values[0].strip()
    is_readable = text.isascii() and text.isprintable()
    return text if is_readable and len(text) <= MAX_ID_LENGTH else ''


def _resumption(headers) -> events.Resumption | None:
    """Return which stream a request takes up again, None for a new one."""
    named = headers.getall(RESUMED_STREAM_HEADER, ())
    if not named and LAST_EVENT_HEADER not in headers:
        return None
    return events.Resumption(_request_id(named))


def _check_text(request: web.BaseRequest) -> None:
    """Raise BAD_HEADER or BAD_REQUEST for bytes that are not UTF-8.

    Headers that are only passed on may contain any bytes.
    """
    if not texts.is_encodable(request.raw_path):
        raise errors.BerylhollowError(
            errors.Kind.BAD_REQUEST, 'The request target is not valid UTF-8.'
        )
    for name in READ_HEADERS:
        for value in request.headers.getall(name, ()):
            if not texts.is_encodable(value):
                raise errors.BerylhollowError(
                    errors.Kind.BAD_HEADER,
                    f'{name} is not valid UTF-8.',
                )


def _request_head(request: web.BaseRequest) -> events.RequestHead:
    headers = request.headers
    return events.RequestHead(
        headers.get('Host', ''),
        request.raw_path,
        workspaces.header_key_digest(headers.getall(API_KEY_HEADER, ())),
        sum(_token_counts(headers.get(TOKEN_COUNT_HEADER, ''))),
    )


def passed_headers(headers) -> tuple[messages.Header, ...]:
    """Return the headers of a request to pass to an endpoint.

    Leaves out hop-by-hop headers, the caller's key and the workspace header.
    """
    named = hop_by_hop.headers_named_by(headers.getall('Connection', ()))
    dropped = NOT_FORWARDED_TO_ENDPOINT | named
    return tuple(
        messages.Header(name, value)
        for name, value in headers.items()
        if name.lower() not in dropped
    )


def _adapter(model: str) -> messages.AdapterVersion | None:
    """Return the adapter if the header names MODEL/ADAPTER, else None.

    The version is empty: callers always mean the newest.
    """
    if '/' not in model:
        return None
    return messages.AdapterVersion(model, '')


def _token_counts(text: str) -> tuple[int, int]:
    """Return the prompt tokens and the maximum of output tokens.

    Both are 0 if the header is missing or invalid. Raises BAD_HEADER for a
    number that is too long.
    """
    prompt, _, output = text.partition(',')
    counts = _integer(prompt), _integer(output)
    if None in counts:
        return 0, 0
    if max(counts) > MAX_TOKENS:
        raise errors.BerylhollowError(
            errors.Kind.BAD_HEADER, f'{TOKEN_COUNT_HEADER} is too large.'
        )
    return counts


def _integer(text: str) -> int | None:
    """Return a decimal number, None if the text is none.

    One with more digits than any limit here is returned as ``TOO_LARGE``.
    """
    digits = text.strip()
    if not (digits.isascii() and digits.isdigit()):
        return None
    significant = digits.lstrip('0') or '0'
    if len(significant) > MAX_DIGITS:
        return TOO_LARGE
    return int(significant)


def _deadline_ms(headers, default_ms: int) -> int:
    """Return the deadline from the caller's header, or the default."""
    stated_ms = _integer(headers.get(_endpoint_calls.DEADLINE_HEADER, ''))
    if stated_ms is None:
        return default_ms
    return max(1, min(stated_ms, MAX_DEADLINE_MS))


def _fingerprint(request: web.BaseRequest, body: bytes) -> str:
    """Return a digest that is equal for identical requests."""
    named = (request.method, request.raw_path, request.host)
    parts = (part.encode(errors='surrogateescape') for part in named)
    digest = digests.of_parts(parts, DIGEST_BYTES)
    digest.update(body)
    return digest.hexdigest()
