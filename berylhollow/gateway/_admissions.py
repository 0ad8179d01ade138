"""Admission of prompts: a sidecar says when a request may be sent.

An engine that reads prompts delays the answers that it generates. The sidecar
beside it knows what all gateways want to send there, orders it, and grants as
much at a time as the gap between two events of an answer allows. A gateway
without an answer of the sidecar sends without admission.

Every admission that was asked for is ended by one ``AdmissionEnded``, unless
the link to the sidecar has closed: the sidecar then drops it by itself.
"""

import dataclasses

from berylhollow import effects
from berylhollow import events
from berylhollow import following
from berylhollow.gateway import _adapters
from berylhollow.gateway import _counts
from berylhollow.gateway import _fleet
from berylhollow.gateway import _routing
from berylhollow.gateway import _state
from berylhollow import messages

Effects = list[effects.Effect]

CHECK_MS = 100
"""How long after it was asked a sidecar is first found not to have answered,
and how often the endpoint of a queued request is chosen anew."""

ANSWER_MS = 150
"""How long a sidecar may take to answer before a request is sent without."""

SILENT_MS = 2000
"""How long a sidecar that did not answer is not asked again. An older one
skips the question, and each request would wait for it in vain."""

LATE_GRANT_MS = 500
"""How much later than expected a grant may come before it is asked for anew.
The expected wait leaves out more urgent requests that come later."""

MAX_DEADLINE_SHARE = 0.5
"""Share of the deadline within which a request must be admitted. One that is
told early that it can't be may still be served later or given up."""

MIN_RETRY_MS = 400
RETRY_JITTER_SHARE = 0.5
"""Jitter as a share of the wait, so that refused callers don't all retry at
once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Whether a request may be sent to the chosen endpoint now."""

    may_send: bool
    emitted: tuple[effects.Effect, ...] = ()


def choose_endpoint(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> str | None:
    """Return the endpoint for a request, None if there is none.

    A request stays where it is admitted, or has asked and has no answer yet,
    as long as that endpoint may be used. An endpoint whose sidecar has refused
    the request is returned only if no other one holds its adapter.
    """
    admission = active.admission
    if (
        admission is not None
        and not admission.is_queued
        and _may_use(state, active, admission.endpoint, at_ms)
    ):
        return admission.endpoint
    name = _routing.choose_endpoint(state, active, at_ms)
    if name in active.admission_refusals:
        return _other_holder(state, active, at_ms) or name
    return name


def end_elsewhere(
    state: _state.State, active: _state.ActiveRequest, name: str | None
) -> Effects:
    """End an admission that is not one at the endpoint chosen now.

    That endpoint may have another sidecar than the one that was asked, if its
    address has changed, or none if its service has no adapters any more.
    """
    admission = active.admission
    if admission is None:
        return []
    if admission.endpoint == name and _has_sidecar(state, admission):
        return []
    return end(state, active)


def request(
    state: _state.State,
    active: _state.ActiveRequest,
    name: str,
    at_ms: int,
) -> Decision:
    """Ask for a request's admission at an endpoint, or wait for the grant.

    Its adapter is ready there. A request that needs no admission, or can get
    none, may be sent at once.
    """
    terms = _terms(state, active, name)
    if terms is None:
        return Decision(True, tuple(end(state, active)))
    admission = active.admission
    if admission is not None and admission.granted:
        return Decision(True)
    peer = _adapters.sidecar_peer(state, name)
    if admission is None or admission.is_expired(at_ms):
        reason = _unavailable(state, peer, name, at_ms)
        if reason:
            return _send_without(state, active, name, reason, at_ms)
        return _ask(state, active, terms, name, peer, at_ms)
    if not admission.is_queued and _is_unanswered(admission, at_ms):
        state.sidecars[peer].unasked_until_ms = at_ms + SILENT_MS
        return _send_without(state, active, name, 'no answer', at_ms)
    _wait(state, active, at_ms)
    return Decision(False)


def refuses(active: _state.ActiveRequest, name: str | None) -> bool:
    """Tell whether the sidecar of a chosen endpoint can't admit in time."""
    return name in active.admission_refusals


def retry_after_ms(active: _state.ActiveRequest) -> int:
    """Return when the caller of a request that can't be admitted may retry.

    That is after the shortest expected wait; a full queue states none.
    """
    waits_ms = active.admission_refusals.values()
    stated_ms = [wait_ms for wait_ms in waits_ms if wait_ms >= 0]
    base_ms = max(MIN_RETRY_MS, min(stated_ms, default=0))
    return base_ms + int(active.seed * RETRY_JITTER_SHARE * base_ms)


def queued(
    state: _state.State, event: events.MessageReceived
) -> tuple[Effects, _state.ActiveRequest | None]:
    """Note the expected wait; return the request if it is to be placed anew.

    That is one that would be admitted too late, or not at all.
    """
    message: messages.AdmissionQueued = event.message
    active = _asked(state, event)
    if active is None or active.admission.granted:
        return [], None
    admission = active.admission
    reserve_ms = (1 - MAX_DEADLINE_SHARE) * active.request.deadline_ms
    left_ms = active.deadline_ms - event.at_ms - reserve_ms
    if not 0 <= message.wait_ms <= left_ms:
        active.admission_refusals[admission.endpoint] = message.wait_ms
        emitted = end(state, active)
        emitted.append(_count(active, 'refused'))
        return emitted, active
    admission.expires_ms = event.at_ms + message.wait_ms + LATE_GRANT_MS
    _wait(state, active, event.at_ms)
    fields = (
        ('request_id', active.request.request_id),
        ('endpoint', admission.endpoint),
        ('tokens', active.request.prompt_tokens),
        ('wait_ms', message.wait_ms),
    )
    return [effects.Log('request waits for admission', fields)], None


def granted(
    state: _state.State, event: events.MessageReceived
) -> tuple[Effects, _state.ActiveRequest | None]:
    """Note a grant; return the request that may be sent.

    A grant that is not wanted any more is given back.
    """
    active = _asked(state, event)
    if active is None:
        ended = messages.AdmissionEnded(event.message.request_id, False)
        return [effects.Send(event.peer, ended)], None
    if active.admission.granted:
        return [], None
    active.admission.granted = True
    return [_count(active, 'granted')], active


def link_closed(state: _state.State, peer: str) -> list[_state.ActiveRequest]:
    """Return the requests that waited for a sidecar, to be placed anew.

    The sidecar drops its queue for this gateway. It goes on counting what it
    has granted, so that the end of these is told over the next link.
    """
    waiting = []
    for active in state.requests.values():
        admission = active.admission
        if admission is None or admission.peer != peer or admission.granted:
            continue
        active.admission = None
        waiting.append(active)
    return waiting


def begin_answer(
    state: _state.State, active: _state.ActiveRequest, status: int
) -> Effects:
    """End the admission of a request that was answered with an error."""
    if status in messages.SUCCESS_STATUSES:
        return []
    return end(state, active)


def end(
    state: _state.State, active: _state.ActiveRequest, begun: bool = False
) -> Effects:
    """Tell the sidecar that a request no longer waits or has begun."""
    admission = active.admission
    active.admission = None
    if admission is None or not _is_linked(state, admission.peer):
        return []
    ended = messages.AdmissionEnded(active.request.request_id, begun)
    return [effects.Send(admission.peer, ended)]


def permit_denied(state: _state.State, request_id: str) -> Effects:
    """Give back the admission of a suspect that may not be sent now."""
    active = state.requests.get(request_id)
    if active is None or active.phase is not _state.Phase.WAITING:
        return []
    return end_without_permit(state, active)


def record_gap(
    state: _state.State, active: _state.ActiveRequest, gap_ms: int
) -> None:
    """Note the longest gap of an answer, to be told to the sidecar."""
    endpoint = state.endpoints.get(active.endpoint)
    if endpoint is None or _terms(state, active, active.endpoint) is None:
        return
    endpoint.longest_gap_ms = max(endpoint.longest_gap_ms, gap_ms)


def end_without_permit(
    state: _state.State, active: _state.ActiveRequest
) -> Effects:
    """Give back the admission of a suspect unless it asks for its permit.

    The answer about a permit comes soon. A suspect that waits for others like
    it would keep the endpoint's next prompts waiting as well.
    """
    request_id = active.request.request_id
    probes = (state.probes.get(key) for key in active.keys)
    if any(probe and probe.request_id == request_id for probe in probes):
        return []
    return end(state, active)


def _terms(
    state: _state.State, active: _state.ActiveRequest, name: str
) -> following.AdmissionTerms | None:
    """Return the terms of a request's admission, None if it needs none."""
    if not active.request.prompt_tokens:
        return None
    if not state.endpoints[name].instance.direct:
        return None
    return state.follower.current.admission(active.service)


def _may_use(
    state: _state.State, active: _state.ActiveRequest, name: str, at_ms: int
) -> bool:
    fleet = _fleet.Fleet(state, active, at_ms)
    return fleet.may_choose(name) and _adapters.is_ready(
        state, active, name, at_ms
    )


def _other_holder(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> str | None:
    """Return an endpoint that holds the adapter and has not refused."""
    fleet = _fleet.Fleet(state, active, at_ms)
    adapter = active.request.adapter
    names = fleet.names() if adapter is None else fleet.holders(adapter)
    names = [name for name in names if name not in active.admission_refusals]
    return min(
        names, key=lambda name: fleet.view(name).backlog_ms, default=None
    )


def _unavailable(state: _state.State, peer: str, name: str, at_ms: int) -> str:
    """Return why a sidecar can't be asked, '' if it can."""
    sidecar = state.sidecars.get(peer)
    if sidecar is None or state.endpoint_by_peer.get(peer) != name:
        return 'no sidecar'
    if sidecar.link is not _state.LinkPhase.OPEN:
        return 'no link'
    if sidecar.report is None:
        return 'no report'
    return 'silent' if at_ms < sidecar.unasked_until_ms else ''


def _has_sidecar(
    state: _state.State, admission: _state.PromptAdmission
) -> bool:
    """Tell whether the sidecar that was asked is that of the endpoint.

    A grant is valid without a link, but none can come without one.
    """
    if admission.peer != _adapters.sidecar_peer(state, admission.endpoint):
        return False
    return admission.granted or _is_linked(state, admission.peer)


def _is_linked(state: _state.State, peer: str) -> bool:
    sidecar = state.sidecars.get(peer)
    return sidecar is not None and sidecar.link is _state.LinkPhase.OPEN


def _ask(
    state: _state.State,
    active: _state.ActiveRequest,
    terms: following.AdmissionTerms,
    name: str,
    peer: str,
    at_ms: int,
) -> Decision:
    """Ask for the admission, also anew if the grant is late."""
    request = active.request
    active.admission = _state.PromptAdmission(name, peer, at_ms)
    _adapters.wait_for_admission(state, active, name)
    _wait(state, active, at_ms)
    workspace = active.workspace
    begun_ms = active.deadline_ms - request.deadline_ms
    objective_ms = active.objective_ms or request.deadline_ms
    wanted = messages.AdmissionWanted(
        request.request_id,
        request.prompt_tokens,
        request.priority,
        '' if workspace is None else workspace.name,
        begun_ms + objective_ms - at_ms,
        terms.event_gap_ms,
        terms.event_steps,
    )
    return Decision(False, (effects.Send(peer, wanted),))


def _is_unanswered(admission: _state.PromptAdmission, at_ms: int) -> bool:
    """Tell whether a sidecar has not answered in time.

    It must be found so twice: after a pause of this gateway, what came
    meanwhile is read between the two.
    """
    if at_ms < admission.asked_ms + CHECK_MS:
        return False
    if admission.checked_ms is None:
        admission.checked_ms = at_ms
    if at_ms == admission.checked_ms:
        return False
    return at_ms >= admission.asked_ms + ANSWER_MS


def _wait(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> None:
    """Set when a request that waits for its admission is placed again."""
    admission = active.admission
    if admission.is_queued:
        active.retry_at_ms = min(at_ms + CHECK_MS, admission.expires_ms)
    elif admission.checked_ms is None:
        active.retry_at_ms = admission.asked_ms + CHECK_MS
    else:
        active.retry_at_ms = max(admission.asked_ms + ANSWER_MS, at_ms + 1)


def _send_without(
    state: _state.State,
    active: _state.ActiveRequest,
    name: str,
    reason: str,
    at_ms: int,
) -> Decision:
    """Send a request without admission; it does not wait for it any more."""
    admission = active.admission
    fields = (
        ('request_id', active.request.request_id),
        ('endpoint', name),
        ('tokens', active.request.prompt_tokens),
        ('reason', reason),
        ('waited_ms', at_ms - admission.asked_ms if admission else 0),
    )
    return Decision(
        True,
        (
            *end(state, active),
            effects.Log('request is sent without admission', fields),
            _count(active, reason),
        ),
    )


def _asked(
    state: _state.State, event: events.MessageReceived
) -> _state.ActiveRequest | None:
    """Return the request that has asked the sender for its admission."""
    active = state.requests.get(event.message.request_id)
    if active is None or active.admission is None:
        return None
    return active if active.admission.peer == event.peer else None


def _count(active: _state.ActiveRequest, outcome: str) -> effects.Count:
    attributes = _counts.outcome_attributes(active, outcome)
    return effects.Count('berylhollow.admissions', 1, attributes)
