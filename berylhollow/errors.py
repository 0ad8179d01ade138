"""All error kinds and the answer that a caller gets for each."""

import dataclasses
import enum


class Ran(enum.Enum):
    """Whether a request was run by an endpoint."""

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class Retry(enum.Enum):
    """Whether and when the caller may retry."""

    NEVER = 'never'
    LATER = 'later'
    CHANGED = 'changed'
    IF_IDEMPOTENT = 'if_idempotent'


class Kind(enum.Enum):
    """Every way in which a request can fail; callers get no other error."""

    ADAPTER_ABSENT = 'adapter_absent'
    ALREADY_RAN = 'already_ran'
    BAD_HEADER = 'bad_header'
    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    CALLER_LIMIT = 'caller_limit'
    CALLER_TOO_SLOW = 'caller_too_slow'
    CANCELLED = 'cancelled'
    CANNOT_BE_ON_TIME = 'cannot_be_on_time'
    CLAIMS_UNAVAILABLE = 'claims_unavailable'
    CONFIGURATION_OUTDATED = 'configuration_outdated'
    CONFIGURATION_UNAVAILABLE = 'configuration_unavailable'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    ENDPOINT_FAILED = 'endpoint_failed'
    ENDPOINT_REPLACED = 'endpoint_replaced'
    ENDPOINT_UNREACHABLE = 'endpoint_unreachable'
    ENGINE_RESTARTED = 'engine_restarted'
    INTERNAL = 'internal'
    KEY_IN_PROGRESS = 'key_in_progress'
    KEY_REUSED = 'key_reused'
    KEY_UNPROVEN = 'key_unproven'
    LEAVING = 'leaving'
    LOAD_FAILED = 'load_failed'
    MALFORMED_JSON = 'malformed_json'
    METHOD_NOT_ALLOWED = 'method_not_allowed'
    NO_ENDPOINT = 'no_endpoint'
    NOT_FOUND = 'not_found'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    OVERLOADED = 'overloaded'
    QUARANTINED = 'quarantined'
    QUOTA_EXCEEDED = 'quota_exceeded'
    SOFTWARE_VERSION_GONE = 'software_version_gone'
    STREAM_BROKEN = 'stream_broken'
    STREAM_ORIGIN_UNKNOWN = 'stream_origin_unknown'
    SUSPECT = 'suspect'
    UNKNOWN_ADAPTER = 'unknown_adapter'
    UNKNOWN_KEY = 'unknown_key'
    UNKNOWN_SERVICE = 'unknown_service'
    UNKNOWN_VERSION = 'unknown_version'
    UNSUPPORTED_MEDIA_TYPE = 'unsupported_media_type'
    WRONG_ADAPTER = 'wrong_adapter'


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a caller for one kind of error.

    ``status`` is the HTTP status, ``ran`` applies unless the failure itself
    is more specific, ``title`` is one readable sentence.
    """

    status: int
    ran: Ran
    retry: Retry
    title: str


_NOT_RUN = Ran.NOT_RUN
_UNKNOWN = Ran.UNKNOWN

ANSWERS: dict[Kind, Answer] = {
    Kind.ADAPTER_ABSENT: Answer(
        503, _NOT_RUN, Retry.LATER, 'The endpoint does not hold the adapter.'
    ),
    Kind.ALREADY_RAN: Answer(
        409, Ran.RAN, Retry.NEVER, 'This key ran; its answer is not kept.'
    ),
    Kind.BAD_HEADER: Answer(
        400, _NOT_RUN, Retry.CHANGED, 'A request header is not valid.'
    ),
    Kind.BAD_REQUEST: Answer(
        400, _NOT_RUN, Retry.CHANGED, 'The request is not valid.'
    ),
    Kind.BODY_TOO_LARGE: Answer(
        413, _NOT_RUN, Retry.CHANGED, 'The request body is too large.'
    ),
    Kind.CALLER_LIMIT: Answer(
        429, _NOT_RUN, Retry.LATER, 'The caller is over its limit.'
    ),
    Kind.CALLER_TOO_SLOW: Answer(
        408, _NOT_RUN, Retry.LATER, 'The request was sent too slowly.'
    ),
    Kind.CANCELLED: Answer(
        499, _UNKNOWN, Retry.IF_IDEMPOTENT, 'The caller went away.'
    ),
    Kind.CANNOT_BE_ON_TIME: Answer(
        503,
        _NOT_RUN,
        Retry.LATER,
        'The request cannot be done by its deadline.',
    ),
    Kind.CLAIMS_UNAVAILABLE: Answer(
        503, _NOT_RUN, Retry.LATER, 'The key cannot be claimed at present.'
    ),
    Kind.CONFIGURATION_OUTDATED: Answer(
        503, _NOT_RUN, Retry.LATER, 'A newer configuration is in force.'
    ),
    Kind.CONFIGURATION_UNAVAILABLE: Answer(
        503, _NOT_RUN, Retry.LATER, 'No configuration has been read yet.'
    ),
    Kind.DEADLINE_EXCEEDED: Answer(
        504, _UNKNOWN, Retry.IF_IDEMPOTENT, 'The deadline passed.'
    ),
    Kind.ENDPOINT_FAILED: Answer(
        502, _UNKNOWN, Retry.IF_IDEMPOTENT, 'The endpoint failed.'
    ),
    Kind.ENDPOINT_REPLACED: Answer(
        503, _NOT_RUN, Retry.LATER, 'Another endpoint is at this address now.'
    ),
    Kind.ENDPOINT_UNREACHABLE: Answer(
        503, _NOT_RUN, Retry.LATER, 'The endpoint could not be reached.'
    ),
    Kind.ENGINE_RESTARTED: Answer(
        502, _UNKNOWN, Retry.IF_IDEMPOTENT, 'The engine restarted.'
    ),
    Kind.INTERNAL: Answer(
        500, _UNKNOWN, Retry.IF_IDEMPOTENT, 'An unexpected failure.'
    ),
    Kind.KEY_IN_PROGRESS: Answer(
        409, _UNKNOWN, Retry.LATER, 'A request with this key is running.'
    ),
    Kind.KEY_REUSED: Answer(
        422, _NOT_RUN, Retry.CHANGED, 'The key was used for another request.'
    ),
    Kind.KEY_UNPROVEN: Answer(
        503, _NOT_RUN, Retry.LATER, 'Whether the key still holds is not known.'
    ),
    Kind.LEAVING: Answer(
        503, _NOT_RUN, Retry.LATER, 'The process is shutting down.'
    ),
    Kind.LOAD_FAILED: Answer(
        503, _NOT_RUN, Retry.LATER, 'The adapter could not be loaded.'
    ),
    Kind.MALFORMED_JSON: Answer(
        400, _NOT_RUN, Retry.CHANGED, 'The request body is not valid JSON.'
    ),
    Kind.METHOD_NOT_ALLOWED: Answer(
        405, _NOT_RUN, Retry.CHANGED, 'The method is not allowed here.'
    ),
    Kind.NO_ENDPOINT: Answer(
        503, _NOT_RUN, Retry.LATER, 'No endpoint of the service is live.'
    ),
    Kind.NOT_FOUND: Answer(
        404, _NOT_RUN, Retry.CHANGED, 'There is nothing at this path.'
    ),
    Kind.OUTCOME_UNKNOWN: Answer(
        502, _UNKNOWN, Retry.IF_IDEMPOTENT, 'Whether it ran is not known.'
    ),
    Kind.OVERLOADED: Answer(
        503, _NOT_RUN, Retry.LATER, 'The service is overloaded.'
    ),
    Kind.QUARANTINED: Answer(
        422, _NOT_RUN, Retry.NEVER, 'This request has crashed endpoints.'
    ),
    Kind.QUOTA_EXCEEDED: Answer(
        429, _NOT_RUN, Retry.LATER, 'The workspace has used up its quota.'
    ),
    Kind.SOFTWARE_VERSION_GONE: Answer(
        503,
        _NOT_RUN,
        Retry.LATER,
        'No endpoint has the software version that began the stream.',
    ),
    Kind.STREAM_BROKEN: Answer(
        502, _UNKNOWN, Retry.IF_IDEMPOTENT, 'The answer ended early.'
    ),
    Kind.STREAM_ORIGIN_UNKNOWN: Answer(
        503,
        _NOT_RUN,
        Retry.LATER,
        'Which software version began the stream is not known here.',
    ),
    Kind.SUSPECT: Answer(
        503, _NOT_RUN, Retry.LATER, 'This request may crash endpoints.'
    ),
    Kind.UNKNOWN_ADAPTER: Answer(
        404, _NOT_RUN, Retry.CHANGED, 'The adapter is not declared.'
    ),
    Kind.UNKNOWN_KEY: Answer(
        401, _NOT_RUN, Retry.CHANGED, 'No valid key of a workspace was given.'
    ),
    Kind.UNKNOWN_SERVICE: Answer(
        404, _NOT_RUN, Retry.CHANGED, 'The service is not declared.'
    ),
    Kind.UNKNOWN_VERSION: Answer(
        404, _NOT_RUN, Retry.CHANGED, 'The version is not declared.'
    ),
    Kind.UNSUPPORTED_MEDIA_TYPE: Answer(
        415, _NOT_RUN, Retry.CHANGED, 'The content type is not supported.'
    ),
    Kind.WRONG_ADAPTER: Answer(
        502, Ran.RAN, Retry.IF_IDEMPOTENT, 'The endpoint ran another adapter.'
    ),
}


class BerylhollowError(Exception):
    """A failure of a known kind, with a message that a user may see.

    ``retry_after_ms`` is how long the caller should wait before a retry, 0 if
    that is not known.
    """

    def __init__(self, kind: Kind, message: str = '', retry_after_ms: int = 0):
        super().__init__(message or ANSWERS[kind].title)
        self.kind = kind
        self.retry_after_ms = retry_after_ms

    @property
    def answer(self) -> Answer:
        return ANSWERS[self.kind]


def reference_text() -> str:
    """Return the reference page of error kinds in Markdown."""
    lines = [
        '# Error kinds',
        '',
        'The closed list of what a caller can be told; see [api.md](api.md).',
        '`ran` is what holds unless the answer itself says more. Generated by',
        '`make generate`.',
        '',
        '| kind | status | ran | retry | title |',
        '|---|---|---|---|---|',
    ]
    for kind, answer in ANSWERS.items():
        lines.append(
            f'| `{kind.value}` | {answer.status} | {answer.ran.value} '
            f'| {answer.retry.value} | {answer.title} |'
        )
    return '\n'.join(lines) + '\n'
