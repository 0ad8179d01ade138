"""Verdicts on claims to idempotency keys, and their wire messages."""

import dataclasses
import logging

from berylhollow import answer_head
from berylhollow import claims
from berylhollow import errors
from berylhollow import messages

LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a claim holds its key; if not, the caller's answer or error."""

    holds: bool = False
    kind: errors.Kind = errors.Kind.INTERNAL
    ran: errors.Ran = errors.Ran.NOT_RUN
    retry_after_ms: int = 0
    answer: claims.StoredAnswer | None = None


def judge(
    claim: claims.Claim, holding: claims.Holding | None, log_ms: int
) -> Verdict:
    """Return the verdict on a claim from the holder of its key.

    ``holding`` is the key's state at the claim's own offset, ``log_ms`` the
    log's time of the claim.
    """
    if holding is None:
        return Verdict(kind=errors.Kind.CLAIMS_UNAVAILABLE)
    if holding.claim_id == claim.claim_id:
        return Verdict(holds=True)
    if holding.fingerprint != claim.fingerprint:
        return Verdict(kind=errors.Kind.KEY_REUSED)
    if holding.answer is not None:
        return _answered(holding.answer)
    if holding.outcome is claims.Outcome.RAN:
        return Verdict(kind=errors.Kind.ALREADY_RAN, ran=errors.Ran.RAN)
    return _judge_unsettled(holding, log_ms)


def unavailable(retry_after_ms: int) -> Verdict:
    """Return the verdict on a claim that could not be appended to the log."""
    return Verdict(
        kind=errors.Kind.CLAIMS_UNAVAILABLE, retry_after_ms=retry_after_ms
    )


def to_message(
    partition: int, claim_id: str, verdict: Verdict
) -> messages.ClaimDecided:
    """Convert a verdict to the message that a leader sends."""
    answer = verdict.answer or claims.StoredAnswer(0, (), b'')
    return messages.ClaimDecided(
        partition,
        claim_id,
        verdict.holds,
        verdict.kind,
        verdict.ran,
        verdict.retry_after_ms,
        answer.status,
        answer.headers,
        answer.body,
    )


def from_message(message: messages.ClaimDecided) -> Verdict:
    """Convert a leader's message to a verdict."""
    if message.status or message.headers or message.body:
        return _answered(
            claims.StoredAnswer(message.status, message.headers, message.body)
        )
    return Verdict(
        message.holds, message.kind, message.ran, message.retry_after_ms
    )


def _answered(answer: claims.StoredAnswer) -> Verdict:
    """Return the verdict on a claim whose key has an answer already.

    One that can't be passed on only shows that the request has run.
    """
    fault = answer_head.relayed_fault(answer.status, answer.headers)
    if fault:
        LOG.warning('invalid stored answer', extra={'reason': fault})
        return Verdict(kind=errors.Kind.ALREADY_RAN, ran=errors.Ran.RAN)
    return Verdict(answer=answer)


def _judge_unsettled(holding: claims.Holding, log_ms: int) -> Verdict:
    """Return the verdict where the log has no definite outcome of the holder.

    Until its lifetime has passed, a holder without an outcome counts as in
    progress. After that its gateway counts as gone and the outcome as unknown.
    No other request may run with the key even then, since a paused gateway may
    resume while its run is still in flight.
    """
    remaining_ms = holding.claimed_ms + holding.lifetime_ms - log_ms
    if holding.outcome is None and remaining_ms > 0:
        return Verdict(
            kind=errors.Kind.KEY_IN_PROGRESS,
            ran=errors.Ran.UNKNOWN,
            retry_after_ms=remaining_ms,
        )
    return Verdict(kind=errors.Kind.OUTCOME_UNKNOWN, ran=errors.Ran.UNKNOWN)
