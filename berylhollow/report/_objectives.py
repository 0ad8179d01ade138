"""Service-level objectives, and whether an answer meets one."""

import collections.abc
import dataclasses

from berylhollow.report import _records

FIRST_TOKEN_MS = 450
BETWEEN_TOKENS_MS = 32
LOAD_STALL_MS = 2000
# The caller's own doing: a refusal of these does not use the budget.
CALLERS_KINDS = frozenset(
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

Judge = collections.abc.Callable[[_records.Answer], bool | None]


@dataclasses.dataclass(frozen=True, slots=True)
class Objective:
    """A share of answers that has to be good.

    ``judge`` returns None for an answer that the objective is not about.
    """

    name: str
    title: str
    target: float
    judge: Judge

    @property
    def budget(self) -> float:
        """The share of answers that may be bad."""
        return 1 - self.target


def _first_token(answer: _records.Answer) -> bool | None:
    if answer.kind in CALLERS_KINDS or not answer.adapter:
        return None
    if answer.first_byte_ms is None:
        return False
    if not answer.parts:
        # All of an answer that is not streamed comes at its end.
        return None
    return answer.first_byte_ms <= FIRST_TOKEN_MS


def _between_tokens(answer: _records.Answer) -> bool | None:
    if answer.first_byte_ms is None or answer.parts < 2:
        return None
    span_ms = answer.duration_ms - answer.first_byte_ms
    return span_ms / (answer.parts - 1) <= BETWEEN_TOKENS_MS


def _on_time(answer: _records.Answer) -> bool | None:
    if answer.kind in CALLERS_KINDS:
        return None
    if answer.kind:
        return False
    deadline_ms = answer.deadline_ms
    return deadline_ms is None or answer.duration_ms <= deadline_ms


def _load_stall(answer: _records.Answer) -> bool | None:
    if answer.stalled_ms is None or not answer.adapter:
        return None
    return answer.stalled_ms <= LOAD_STALL_MS


OBJECTIVES = (
    Objective(
        'first_token',
        f'first token within {FIRST_TOKEN_MS} ms',
        0.95,
        _first_token,
    ),
    Objective(
        'between_tokens',
        f'at most {BETWEEN_TOKENS_MS} ms between tokens, mean of an answer',
        0.95,
        _between_tokens,
    ),
    Objective('on_time', 'whole answer by its deadline', 0.99, _on_time),
    Objective(
        'load_stall',
        f'at most {LOAD_STALL_MS} ms of waiting for a load',
        0.95,
        _load_stall,
    ),
)
