"""Metrics of a sidecar's reducer, derived from its events and effects."""

from berylhollow import effects
from berylhollow import events
from berylhollow import messages
from berylhollow.sidecar import _state

MS_PER_SECOND = 1000
LOADED_OUTCOME = 'loaded'


def counts_for(
    state: _state.State, event: events.Event, done: list[effects.Effect]
) -> list[effects.Count]:
    """Return the metrics of an event and the effects it produced."""
    counts = _load_counts(state, event)
    for effect in done:
        if isinstance(effect, effects.StartRun):
            counts += _run_counts(state, effect)
        elif isinstance(effect, effects.Send):
            counts += _failure_counts(state, effect.message)
    return counts


def _load_counts(
    state: _state.State, event: events.Event
) -> list[effects.Count]:
    if isinstance(event, events.LoadSucceeded):
        outcome = LOADED_OUTCOME
    elif isinstance(event, events.LoadFailed):
        outcome = event.reason.value
    else:
        return []
    attributes = (_service_attribute(state), ('berylhollow.outcome', outcome))
    return [effects.Count('berylhollow.loads', 1, attributes)]


def _run_counts(
    state: _state.State, effect: effects.StartRun
) -> list[effects.Count]:
    attempt = state.attempts[effect.attempt_id]
    service = (_service_attribute(state),)
    stalled_s = attempt.stalled_ms / MS_PER_SECOND
    return [
        effects.Count('berylhollow.load_stall.duration', stalled_s, service),
        effects.Count('berylhollow.batch_size', len(state.running), service),
    ]


def _failure_counts(
    state: _state.State, message: messages.Message
) -> list[effects.Count]:
    if not isinstance(message, messages.Failed):
        return []
    attributes = (
        _service_attribute(state),
        ('error.type', message.kind.value),
        ('berylhollow.ran', message.ran.value),
    )
    return [effects.Count('berylhollow.attempts.failed', 1, attributes)]


def _service_attribute(state: _state.State) -> tuple[str, str]:
    return ('berylhollow.service', state.options.service)
