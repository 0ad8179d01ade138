"""Metric counts derived from the effects of a gateway's reducer."""

from berylhollow import effects
from berylhollow.gateway import _state
from berylhollow import messages


def count_attempts(
    state: _state.State, emitted: list[effects.Effect]
) -> list[effects.Count]:
    """Return the attempt counts of one event; the shell counts errors."""
    counts = []
    for effect in emitted:
        if isinstance(effect, effects.Send):
            counts += _count_attempt(state, effect.message)
    return counts


def outcome_attributes(
    active: _state.ActiveRequest, outcome: str
) -> tuple[tuple[str, str], ...]:
    """Return the service of a request and an outcome as metric attributes."""
    return (
        ('berylhollow.service', active.service),
        ('berylhollow.outcome', outcome),
    )


def _count_attempt(
    state: _state.State, message: messages.Message
) -> list[effects.Count]:
    if not isinstance(message, messages.Offer):
        return []
    active = state.request_of(message.attempt_id)
    retry = active is not None and active.attempts > 1
    attributes = (
        ('berylhollow.service', message.service),
        ('berylhollow.retry', str(retry).lower()),
    )
    return [effects.Count('berylhollow.attempts', 1, attributes)]
