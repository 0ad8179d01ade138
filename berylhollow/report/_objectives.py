"""Service-level objectives, and whether an answer meets one."""

import collections.abc
import dataclasses

from berylhollow.report import _records

MAX_FIRST_TOKEN_MS = 450
MAX_TOKEN_GAP_MS = 32
MAX_LOAD_STALL_MS = 2000
# Errors caused by the caller, which do not count against the budget.
CALLER_ERROR_KINDS = frozenset(
    {
        'bad_header',
        'bad_request',
        'body_too_large',
        'caller_limit',
        'caller_too_slow',
        'cancelled',
        'key_reused',
        'malformed_json',
        'method_not_allowed',
        'not_found',
        'quarantined',
        'unknown_adapter',
        'unknown_service',
        'unknown_version',
        'unsupported_media_type',
    }
)

Criterion = collections.abc.Callable[[_records.Answer], bool | None]


@dataclasses.dataclass(frozen=True, slots=True)
class Objective:
    """A target share of answers that have to be good.

    ``judge`` returns whether an answer is good, or None if the objective does
    not apply to it.
    """

    name: str
    title: str
    target: float
    judge: Criterion

    @property
    def budget(self) -> float:
        """The share of answers that may be bad."""
        return 1 - self.target


def _meets_first_token(answer: _records.Answer) -> bool | None:
    if answer.kind in CALLER_ERROR_KINDS or not answer.adapter:
        return None
    if answer.first_byte_ms is None:
        return False
    if not answer.parts:
        # An answer that is not streamed arrives as a whole at its end, so
        # the time of its first token is unknown.
        return None
    return answer.first_byte_ms <= MAX_FIRST_TOKEN_MS


def _meets_between_tokens(answer: _records.Answer) -> bool | None:
    if answer.first_byte_ms is None or answer.parts < 2:
        return None
    span_ms = answer.duration_ms - answer.first_byte_ms
    return span_ms / (answer.parts - 1) <= MAX_TOKEN_GAP_MS


def _meets_deadline(answer: _records.Answer) -> bool | None:
    if answer.kind in CALLER_ERROR_KINDS:
        return None
    if answer.kind:
        return False
    deadline_ms = answer.deadline_ms
    return deadline_ms is None or answer.duration_ms <= deadline_ms


def _meets_load_stall(answer: _records.Answer) -> bool | None:
    if answer.stalled_ms is None or not answer.adapter:
        return None
    return answer.stalled_ms <= MAX_LOAD_STALL_MS


OBJECTIVES = (
    Objective(
        'first_token',
        f'first token within {MAX_FIRST_TOKEN_MS} ms',
        0.95,
        _meets_first_token,
    ),
    Objective(
        'between_tokens',
        f'at most {MAX_TOKEN_GAP_MS} ms between tokens, mean of an answer',
        0.95,
        _meets_between_tokens,
    ),
    Objective(
        'on_time', 'whole answer by its deadline', 0.99, _meets_deadline
    ),
    Objective(
        'load_stall',
        f'at most {MAX_LOAD_STALL_MS} ms of waiting for a load',
        0.95,
        _meets_load_stall,
    ),
)
