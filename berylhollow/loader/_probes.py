"""Permits to send a suspect request: one gateway at a time has it.

Gateways choose the sidecar from the request's fingerprint, so that one grants
them all. A permit whose gateway is gone ends after the time that it was asked
for, since the run may go on. The runs that gateways lost are kept until they
are settled, for gateways that link later.
"""

from berylhollow import clock
from berylhollow import effects
from berylhollow import events
from berylhollow.loader import _state
from berylhollow import messages
from berylhollow import quarantine
from berylhollow.util import bounded

Effects = list[effects.Effect]

MAX_PERMITS = 2000
MAX_PERMIT_MS = 60_000
MAX_SENT_LOSSES = 32
MAX_CLEARINGS = 2000

REPEATED_MS = 50
"""Within this time a clearing is not forwarded again. Shorter than the time
in which gateways take losses of a cleared part as known."""


def wanted(state: _state.State, event: events.MessageReceived) -> Effects:
    """Grant a permit unless another gateway has it."""
    message: messages.ProbeWanted = event.message
    fingerprint = message.fingerprint
    holder = state.permits.get(fingerprint)
    incarnation = state.links.get(event.peer, '')
    granted = (
        holder is None
        or event.at_ms >= holder.until_ms
        or _has_permit(state, event.peer, holder)
    )
    if granted:
        lasts_ms = max(0, min(message.lasts_ms, MAX_PERMIT_MS))
        state.permits.pop(fingerprint, None)
        state.permits[fingerprint] = _state.Permit(
            event.peer, incarnation, event.at_ms + lasts_ms
        )
        bounded.drop_oldest(state.permits, MAX_PERMITS)
    fields = (
        ('fingerprint', fingerprint),
        ('peer', event.peer),
        ('granted', granted),
        ('holder', state.permits[fingerprint].peer),
    )
    answer = messages.ProbeAnswered(fingerprint, granted)
    return [
        effects.Log('probe wanted', fields),
        effects.Send(event.peer, answer),
    ]


def ended(state: _state.State, event: events.MessageReceived) -> Effects:
    """Take back the permit of a gateway, unless its last start had it."""
    fingerprint = event.message.fingerprint
    holder = state.permits.get(fingerprint)
    if holder is not None and _has_permit(state, event.peer, holder):
        del state.permits[fingerprint]
    return []


def _has_permit(state: _state.State, peer: str, holder: _state.Permit) -> bool:
    """Tell whether the linked start of a gateway is the one with a permit."""
    incarnation = state.links.get(peer, '')
    return (holder.peer, holder.incarnation) == (peer, incarnation)


def run_lost(state: _state.State, event: events.MessageReceived) -> bool:
    """Keep a run that a gateway lost; tell whether it is new."""
    lost: messages.RunLost = event.message
    known = state.unsettled.losses.get(lost.fingerprint, {})
    if lost.lost_ms_ago and lost.endpoint in known:
        return False
    lost_ms = event.at_ms - max(0, lost.lost_ms_ago)
    state.unsettled.add(
        lost.fingerprint,
        lost.endpoint,
        lost.is_probe,
        lost_ms,
        max(0, lost.ran_ms),
    )
    return True


def is_repeated(
    state: _state.State, message: messages.Cleared, at_ms: int
) -> bool:
    """Tell whether a clearing was just forwarded, and note it if not.

    After a loss all gateways that know the part to be sound tell it at once.
    """
    if not quarantine.is_part(message.fingerprint):
        return False
    forwarded_ms = state.clearings_ms.pop(message, clock.NEVER_MS)
    is_known = at_ms < forwarded_ms + REPEATED_MS
    state.clearings_ms[message] = forwarded_ms if is_known else at_ms
    bounded.drop_oldest(state.clearings_ms, MAX_CLEARINGS)
    return is_known


def settle(
    state: _state.State,
    message: messages.Crashed | messages.Cleared | messages.EndpointAnswered,
) -> None:
    """Drop the losses of which it is known whether their endpoint ended."""
    if isinstance(message, messages.Crashed):
        ended = quarantine.ended_epoch(message.crash_id)
        for fingerprint in message.fingerprints:
            state.unsettled.settle(fingerprint, ended)
    elif isinstance(message, messages.Cleared):
        state.unsettled.settle(message.fingerprint, *message.ended)
    else:
        state.unsettled.settle(message.fingerprint, message.endpoint)


def losses_for(state: _state.State, peer: str, at_ms: int) -> Effects:
    """Tell a gateway that links of the losses that are not settled."""
    return [
        effects.Send(
            peer,
            messages.RunLost(
                fingerprint,
                endpoint,
                loss.is_probe,
                at_ms - loss.lost_ms,
                loss.lost_ms - loss.began_ms,
            ),
        )
        for fingerprint, losses in state.unsettled.losses.items()
        for endpoint, loss in losses.items()
    ][-MAX_SENT_LOSSES:]
