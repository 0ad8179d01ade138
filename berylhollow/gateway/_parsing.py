"""Validate and parse callers' requests.

Every check fails with a typed error before the reducer knows the request,
so "not run" is always correct for a refused request.
"""

import dataclasses
import itertools
import json
import re
import secrets
import typing

from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow.util import digests
from berylhollow.util import hop_by_hop
from berylhollow.util import texts

CALLER_HEADER = 'X-Caller'
DEADLINE_HEADER = 'X-Deadline-Ms'
KEY_HEADER = 'Idempotency-Key'
PRIORITY_HEADER = 'X-Priority'
REQUEST_ID_HEADER = 'X-Request-Id'
SERVICE_HEADER = 'X-Service'

ANONYMOUS = 'anonymous'
MAXIMUM_DEADLINE_MS = 24 * 60 * 60 * 1000
MAXIMUM_TOKENS = 10_000_000
BYTES_PER_TOKEN = 4
"""Approximate size of a token of prompt text; used for hints only."""

DIGEST_BYTES = 16
ID_PREFIX_BYTES = 8

HTTP_SCHEME = 'http://'
MODEL_PATHS = frozenset({'/v1/chat/completions', '/v1/completions'})
MODEL_METHODS = frozenset({'POST'})
SERVICES_PREFIX = '/v1/services/'
SERVICE_METHODS = frozenset(
    {'DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT'}
)

# ASCII only: names are written to logs, metrics and the platform's log.
NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._:/@-]{0,127}')
SERVICE_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,127}')
OPAQUE_VALUE = re.compile(r'[\x21-\x7e]{1,255}')
NUMBER = re.compile(r'[0-9]{1,9}')
DIGIT = re.compile(r'[0-9]')

# Headers that concern one connection, or that the gateway sets itself.
NOT_FORWARDED = hop_by_hop.HEADERS | {
    'content-length',
    'expect',
    'host',
    'x-caller',
    'x-deadline-ms',
    'x-priority',
    'x-request-id',
    'x-service',
}


@dataclasses.dataclass(frozen=True, slots=True)
class RequestOptions:
    """Caller, key, deadline, priority and service from the headers."""

    caller: str
    key: str | None
    deadline_ms: int
    priority: int
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class ModelCall:
    """The members of a model request's body that the gateway uses."""

    adapter: messages.AdapterVersion | None
    prompt_tokens: int
    output_tokens: int


NO_MODEL_CALL = ModelCall(None, 0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Destination of a request: a path of a model engine or a service."""

    is_model: bool
    service: str
    path: str

    @property
    def methods(self) -> frozenset[str]:
        return MODEL_METHODS if self.is_model else SERVICE_METHODS


class RequestIds:
    """Generates request ids that are unique across processes.

    The id in a caller's own header never identifies a request: two callers
    that send the same id would get each other's answers.
    """

    def __init__(self):
        self.prefix = secrets.token_hex(ID_PREFIX_BYTES)
        self.counter = itertools.count(1)

    def next(self) -> str:
        return f'{self.prefix}-{next(self.counter):x}'


def caller_request_id(headers) -> str | None:
    """Return the caller's own request id; BAD_HEADER if it is malformed."""
    return _single_header(headers, REQUEST_ID_HEADER, OPAQUE_VALUE)


def request_options(headers, default_deadline_ms: int) -> RequestOptions:
    """Parse the headers for the gateway; BAD_HEADER if one is malformed."""
    deadline = _single_header(headers, DEADLINE_HEADER, NUMBER)
    deadline_ms = default_deadline_ms if deadline is None else int(deadline)
    if not 1 <= deadline_ms <= MAXIMUM_DEADLINE_MS:
        raise _bad_header(DEADLINE_HEADER)
    return RequestOptions(
        caller=_single_header(headers, CALLER_HEADER, NAME) or ANONYMOUS,
        key=_single_header(headers, KEY_HEADER, OPAQUE_VALUE),
        deadline_ms=deadline_ms,
        priority=int(_single_header(headers, PRIORITY_HEADER, DIGIT) or 0),
        service=_single_header(headers, SERVICE_HEADER, SERVICE_NAME) or '',
    )


def _single_header(headers, name: str, pattern: re.Pattern) -> str | None:
    values = headers.getall(name, ())
    if not values:
        return None
    # Given two values, a load balancer may use one and an endpoint the other.
    if len(values) > 1 or not pattern.fullmatch(values[0]):
        raise _bad_header(name)
    return values[0]


def _bad_header(name: str) -> errors.BerylhollowError:
    return errors.BerylhollowError(
        errors.Kind.BAD_HEADER, f'{name} is not valid.'
    )


def forwarded_headers(headers) -> tuple[messages.Header, ...]:
    """Return the headers to forward to the endpoint, in their order.

    Headers named by ``Connection`` concern the connection only and are
    dropped.
    """
    dropped = NOT_FORWARDED
    connection_values = headers.getall('Connection', ())
    if connection_values:
        dropped = dropped | hop_by_hop.headers_named_by(connection_values)
    forwarded = []
    for name, value in headers.items():
        if name.lower() in dropped:
            continue
        if not texts.is_encodable(value):
            raise _bad_header(name)
        forwarded.append(messages.Header(name, value))
    return tuple(forwarded)


def check_json_headers(headers) -> None:
    """Raise UNSUPPORTED_MEDIA_TYPE unless the body is plain JSON."""
    content_type = headers.get('Content-Type', '')
    media_type = content_type.partition(';')[0].strip().lower()
    coding = headers.get('Content-Encoding', 'identity').strip().lower()
    if media_type != 'application/json' or coding != 'identity':
        raise errors.BerylhollowError(
            errors.Kind.UNSUPPORTED_MEDIA_TYPE,
            'The body must be application/json without content coding.',
        )


def parse_model_call(body: bytes) -> ModelCall:
    """Parse the JSON body of a model request.

    Raises MALFORMED_JSON and BAD_REQUEST.
    """
    members = _parse_json(body)
    if not isinstance(members, dict):
        raise _bad_request('The body must be a JSON object.')
    model = members.get('model')
    if not isinstance(model, str):
        raise _bad_request('The member model must be a string.')
    limit = members.get('max_completion_tokens')
    if limit is None:
        limit = members.get('max_tokens')
    return ModelCall(
        _parse_adapter(model),
        _estimate_prompt_tokens(members),
        _parse_output_tokens(limit),
    )


def _parse_json(body: bytes) -> typing.Any:
    # In {"model": "a@1", "model": "b@1"} the gateway would read one name and
    # the engine might read the other: json.loads silently keeps the last.
    # The key can also be written with escapes, so the slower check for
    # duplicates is skipped only for bodies that can't contain it twice.
    has_one_model = body.count(b'"model"') <= 1 and b'\\u' not in body
    hook = None if has_one_model else _unique_members
    try:
        return json.loads(body.decode(), object_pairs_hook=hook)
    except (ValueError, RecursionError) as error:
        raise errors.BerylhollowError(errors.Kind.MALFORMED_JSON) from error


def _unique_members(pairs: list[tuple[str, typing.Any]]) -> dict:
    members = dict(pairs)
    if len(members) != len(pairs):
        raise _bad_request('The body has a member twice.')
    return members


def _parse_adapter(model: str) -> messages.AdapterVersion | None:
    """Return the adapter that ``model`` names, None for a base model."""
    if not NAME.fullmatch(model):
        raise _bad_request('The member model is not a valid name.')
    name, at, version = model.rpartition('@')
    if not at:
        return None
    if not name or not version:
        raise _bad_request('The member model must be adapter@version.')
    return messages.AdapterVersion(name, version)


def _parse_output_tokens(limit: typing.Any) -> int:
    if limit is None:
        return 0
    if type(limit) is not int or not 0 <= limit <= MAXIMUM_TOKENS:
        raise _bad_request('The limit of tokens is not a valid number.')
    return limit


def _estimate_prompt_tokens(members: dict) -> int:
    """Estimate the prompt's number of tokens, a hint for placement."""
    size = _text_length(members.get('prompt'))
    chat_messages = members.get('messages')
    if isinstance(chat_messages, list):
        for message in chat_messages:
            if isinstance(message, dict):
                size += _text_length(message.get('content'))
    return -(-size // BYTES_PER_TOKEN)


def _text_length(text: typing.Any) -> int:
    if isinstance(text, str):
        return len(text)
    if not isinstance(text, list):
        return 0
    size = 0
    for part in text:
        if isinstance(part, str):
            size += len(part)
        elif isinstance(part, int):
            size += BYTES_PER_TOKEN
        elif isinstance(part, dict):
            size += len(str(part.get('text') or ''))
    return size


def _bad_request(message: str) -> errors.BerylhollowError:
    return errors.BerylhollowError(errors.Kind.BAD_REQUEST, message)


def origin_form(raw_path: str) -> str:
    """Return the path and query of a request target.

    A client that uses the gateway as a proxy sends the absolute URL, which
    HTTP/1.1 servers have to accept.
    """
    if not raw_path.startswith(HTTP_SCHEME):
        return raw_path
    _, _, path = raw_path.removeprefix(HTTP_SCHEME).partition('/')
    return f'/{path}'


def parse_target(raw_path: str) -> Target | None:
    """Return the target of a path, None if it is not forwarded.

    Raises BAD_REQUEST for an invalid service path.
    """
    path = raw_path.partition('?')[0]
    if path in MODEL_PATHS:
        return Target(True, '', path)
    if not path.startswith(SERVICES_PREFIX):
        return None
    service, _, tail = raw_path[len(SERVICES_PREFIX) :].partition('/')
    if not SERVICE_NAME.fullmatch(service) or not tail.isascii():
        raise _bad_request('The path is not valid.')
    _check_segments(tail)
    return Target(False, service, f'/{tail}')


def _check_segments(path: str) -> None:
    # A later program might resolve a dot segment, to a path other than the
    # one that was checked here.
    normalized = path.partition('?')[0].lower().replace('%2e', '.')
    segments = normalized.replace('\\', '/').replace('%2f', '/').split('/')
    if '.' in segments or '..' in segments:
        raise _bad_request('The path has a dot segment.')


def fingerprint(
    service: str,
    method: str,
    path: str,
    adapter: messages.AdapterVersion | None,
    body: bytes,
) -> str:
    """Return a digest that is equal for identical requests."""
    name = adapter.adapter if adapter else ''
    version = adapter.version if adapter else ''
    named = (service, method, path, name, version)
    digest = digests.of_parts(map(str.encode, named), DIGEST_BYTES)
    digest.update(body)
    return digest.hexdigest()


def build_request(
    request_id: str,
    options: RequestOptions,
    target: Target,
    method: str,
    headers: tuple[messages.Header, ...],
    body: bytes,
) -> events.Request:
    """Build the request for the reducer.

    Raises MALFORMED_JSON and BAD_REQUEST for the body of a model request.
    """
    call = parse_model_call(body) if target.is_model else NO_MODEL_CALL
    service = target.service or options.service
    return events.Request(
        request_id=request_id,
        caller=options.caller,
        service=service,
        adapter=call.adapter,
        key=options.key,
        priority=options.priority,
        deadline_ms=options.deadline_ms,
        fingerprint=fingerprint(
            service, method, target.path, call.adapter, body
        ),
        method=method,
        path=target.path,
        headers=headers,
        body=body,
        prompt_tokens=call.prompt_tokens,
        output_tokens=call.output_tokens,
    )
