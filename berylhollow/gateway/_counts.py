"""What a gateway's reducer counts, read off its effects."""

from berylhollow import effects
from berylhollow.gateway import _state
from berylhollow import messages


def of(state: _state.State, done: list[effects.Effect]) -> list[effects.Count]:
    """Return the counts of one event; errors are counted by the shell."""
    counts = []
    for effect in done:
        if isinstance(effect, effects.Send):
            counts += _attempt(state, effect.message)
    return counts


def _attempt(
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
