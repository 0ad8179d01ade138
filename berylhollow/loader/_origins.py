"""Origins of streams that a sidecar keeps for gateways.

A gateway that was killed can't say any more which software version began its
streams. The sidecars that it has told can.
"""

from berylhollow import effects
from berylhollow import events
from berylhollow.loader import _state
from berylhollow import messages
from berylhollow import resumption

Effects = list[effects.Effect]

MAX_SERVICES = 64
"""Services whose software versions are kept."""


def keep(state: _state.State, event: events.MessageReceived) -> Effects:
    """Keep the origins that a gateway tells."""
    message: messages.StreamsBegan = event.message
    for told in message.origins:
        state.origins.take_over(told, event.at_ms)
    return []


def answer(state: _state.State, event: events.MessageReceived) -> Effects:
    """Tell a gateway what began a stream, also that it is not known."""
    stream = event.message.stream
    origin = state.origins.get(stream, event.at_ms)
    told = None if origin is None else origin.describe(stream, event.at_ms)
    return [effects.Send(event.peer, messages.OriginAnswered(stream, told))]


def keep_history(
    state: _state.State, event: events.MessageReceived
) -> Effects:
    """Keep which software versions of a service a gateway has seen."""
    told: messages.SoftwareHistory = event.message
    history = state.histories.get(told.service)
    if history is None:
        if len(state.histories) >= MAX_SERVICES:
            return []
        until_ms = event.at_ms - max(0, told.observed_ms_ago)
        history = resumption.VersionHistory(until_ms, until_ms)
        state.histories[told.service] = history
    history.merge(told, event.at_ms)
    return []


def histories_for(state: _state.State, peer: str, at_ms: int) -> Effects:
    """Tell a gateway that links which software versions were listed."""
    return [
        effects.Send(peer, history.describe(service, at_ms))
        for service, history in state.histories.items()
    ]
