"""What the log says of a claim, for its request or for the wire."""

import dataclasses

from berylhollow import claims
from berylhollow import errors
from berylhollow import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a claim holds its key; if not, what its caller is told."""

    holds: bool = False
    kind: errors.Kind = errors.Kind.INTERNAL
    ran: errors.Ran = errors.Ran.NOT_RUN
    retry_after_ms: int = 0
    answer: claims.StoredAnswer | None = None


def judge(
    claim: claims.Claim, holding: claims.Holding | None, log_ms: int
) -> Verdict:
    """Judge a claim by who holds its key at the claim's own offset.

    ``log_ms`` is the log's time of the claim.
    """
    if holding is None:
        return Verdict(kind=errors.Kind.CLAIMS_UNAVAILABLE)
    if holding.claim_id == claim.claim_id:
        return Verdict(holds=True)
    if holding.fingerprint != claim.fingerprint:
        return Verdict(kind=errors.Kind.KEY_REUSED)
    if holding.answer is not None:
        return Verdict(answer=holding.answer)
    if holding.outcome is claims.Outcome.RAN:
        return Verdict(kind=errors.Kind.ALREADY_RAN, ran=errors.Ran.RAN)
    return _judge_unsettled(holding, log_ms)


def unavailable(retry_after_ms: int) -> Verdict:
    """Return the verdict of a claim that the log did not take."""
    return Verdict(
        kind=errors.Kind.CLAIMS_UNAVAILABLE, retry_after_ms=retry_after_ms
    )


def to_message(
    partition: int, claim_id: str, verdict: Verdict
) -> messages.ClaimDecided:
    """Return a verdict as the message that a leader sends."""
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
    """Return the verdict in a leader's message."""
    answer = None
    if message.status:
        answer = claims.StoredAnswer(
            message.status, message.headers, message.body
        )
    return Verdict(
        message.holds,
        message.kind,
        message.ran,
        message.retry_after_ms,
        answer,
    )


def _judge_unsettled(holding: claims.Holding, log_ms: int) -> Verdict:
    """Tell a request in flight from one whose gateway is gone.

    The holder has until its lifetime is over to say how it ended. Nobody
    else may run the key after that either: a paused gateway may wake up and
    still have its run in flight.
    """
    left_ms = holding.claimed_ms + holding.lifetime_ms - log_ms
    if holding.outcome is None and left_ms > 0:
        return Verdict(
            kind=errors.Kind.KEY_IN_PROGRESS,
            ran=errors.Ran.UNKNOWN,
            retry_after_ms=left_ms,
        )
    return Verdict(kind=errors.Kind.OUTCOME_UNKNOWN, ran=errors.Ran.UNKNOWN)
