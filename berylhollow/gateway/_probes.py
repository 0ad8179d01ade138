"""Suspect requests run one at a time over all gateways, as probes.

Guards against a request that crashes several endpoints at once, because
gateways send it out while its first crash is not known or not counted yet.
A cut-off run is told to all gateways at once. From then on the request is only
sent with a permit, which one sidecar grants to one gateway at a time; the
sidecar is chosen by the request's fingerprint. A probe that ends well clears
the request. After one that is cut off, and until it is known whether its
endpoint ended, others are sent to that endpoint only, and only at once: it
can't end twice.
"""

import dataclasses

from berylhollow import clock
from berylhollow import effects
from berylhollow import events
from berylhollow.gateway import _quarantine
from berylhollow.gateway import _state
from berylhollow import messages
from berylhollow.policy import rendezvous
from berylhollow import quarantine

Effects = list[effects.Effect]

ANSWER_MS = 150
"""How long a sidecar may take to answer before another one is asked."""

MAX_ASKED = 2
"""Sidecars that are asked in turn. Those of an older version don't answer."""

PERMIT_MARGIN_MS = 500
"""Added to the remaining time of a request for its permit."""

MAX_WAIT_MS = 500
"""How long a request may wait for others like it to end."""

ALIVE_AFTER_MS = 200
"""An endpoint that begins an answer this long after a loss has outlived it.
All that it had sent before its end has been read by then."""

SAME_START_MS = 500
"""How long after a probe was lost its endpoint is tried again. One that ended
takes longer to start."""

ALONE_AFTER_MS = 3000
"""How long no sidecar may have answered before a gateway sends what several
endpoints ended under on its own. Sidecars that start again take less."""

BETTER_PROBE_MS = 7000
"""How long after a loss of a first part the requests with another suspect part
wait for one without. The list shows the end of an endpoint within 5 s."""

MAX_RETOLD = 32
"""Losses that are told again over a link that opens."""

RETRY_MS = 1000
"""When the caller of a request that was refused may return."""


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Whether a request may be sent now.

    If not, it waits, or is refused if ``retry_after_ms`` is set.
    """

    admitted: bool
    emitted: tuple[effects.Effect, ...] = ()
    retry_after_ms: int = 0


def limit_choice(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> None:
    """Limit the choice of endpoints while the last probe is unsettled.

    One that lives after all may answer at once, unless its next start may
    already have taken its name.
    """
    active.limited_to = None
    for key in active.keys:
        unsettled = [
            endpoint
            for endpoint in state.unsettled.probed(key, at_ms)
            if not _is_leaving(state, endpoint)
        ]
        if not unsettled:
            continue
        oldest_ms = at_ms - SAME_START_MS
        active.limited_to = tuple(
            endpoint
            for endpoint in unsettled
            if state.unsettled.lost_ms(key, endpoint) > oldest_ms
            and not _may_be_next_start(state, endpoint)
            and (active.limited_to is None or endpoint in active.limited_to)
        )


def admit(
    state: _state.State,
    active: _state.ActiveRequest,
    endpoint: str | None,
    at_ms: int,
) -> Admission:
    """Decide whether a request may be sent to an endpoint now.

    ``endpoint`` is None if those that it is limited to take no requests.
    """
    active.probe_for = ()
    if endpoint is None:
        reason = 'its last probe may have ended one'
        return _refuse(state, active, reason, at_ms)
    if not state.endpoints[endpoint].instance.direct:
        return Admission(True)
    fingerprint = active.request.fingerprint
    whole = (fingerprint,) if known_ends(state, fingerprint, at_ms) else ()
    parts = suspect_parts(state, active, at_ms)
    if _is_poor_probe(state, active, parts, at_ms):
        return _wait(state, active, at_ms)
    emitted: Effects = []
    # Requests that share a later suspect part share the first one as well.
    for key in (*whole, *parts[:1]):
        probe = state.probes.get(key)
        if probe is None or probe.request_id not in state.requests:
            probe = _state.Probe(active.request.request_id)
            state.probes[key] = probe
        if probe.request_id != active.request.request_id:
            return _wait(state, active, at_ms, emitted)
        if not probe.granted and at_ms >= probe.ask_again_ms:
            emitted += _ask(state, active, key, probe, at_ms)
        if not probe.granted:
            return _wait(state, active, at_ms, emitted)
    active.probe_for = whole + _blamed_part(state, active, parts)
    active.permit_wanted_ms = None
    return Admission(True, tuple(emitted))


def _blamed_part(
    state: _state.State, active: _state.ActiveRequest, parts: list[str]
) -> tuple[str, ...]:
    """Return the key of the part that a run is held against if it is lost.

    It is the suspect part with most crashes; of several the first one, but not
    the first of the prompt, as most sound requests share that. None is if the
    request itself has crashed several endpoints and no part more.
    """
    if not parts:
        return ()
    crashes = {key: state.suspects.crashes(key) for key in parts}
    most = max(crashes.values())
    own = state.suspects.crashes(active.request.fingerprint)
    if own >= _quarantine.SEVERAL and own >= most:
        return ()
    strongest = [key for key in parts if crashes[key] == most]
    first_part = active.keys[1]
    later = [key for key in strongest if key != first_part]
    return ((later or strongest)[0],)


def _is_poor_probe(
    state: _state.State,
    active: _state.ActiveRequest,
    parts: list[str],
    at_ms: int,
) -> bool:
    """Tell whether a request says less of its first part than others would.

    It has a later part that is suspect as well. One without such a part clears
    the first part, if that is sound; for some time only those are sent.
    """
    if len(parts) < 2 or parts[0] != active.keys[1]:
        return False
    if state.suspects.crashes(parts[0]) < _quarantine.SEVERAL:
        return False
    last_ms = state.suspects.last_lost_ms(parts[0])
    return at_ms < last_ms + BETTER_PROBE_MS


def suspect_parts(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> list[str]:
    """Return the keys of the suspect parts of a request, in order.

    The first part of the prompt is suspect from its second end on: most sound
    requests share it, and many of them are lost with any endpoint.
    """
    return [
        key
        for number, key in enumerate(active.keys[1:])
        if len(known_ends(state, key, at_ms))
        >= (1 if number else _quarantine.SEVERAL)
    ]


def known_ends(
    state: _state.State, fingerprint: str, at_ms: int
) -> tuple[str, ...]:
    """Return the endpoints that ended, or may have, under a request."""
    ended = state.suspects.ended(fingerprint)
    if fingerprint not in state.unsettled.losses:
        return ended
    unsettled = state.unsettled.endpoints(fingerprint, at_ms)
    if quarantine.is_part(fingerprint):
        # Many requests share it, so that an answer that is only broken off
        # must not hold all of them.
        unsettled = tuple(
            endpoint
            for endpoint in unsettled
            if state.unsettled.has_likely_ended(endpoint, at_ms)
        )
    return ended + unsettled


def held(
    state: _state.State, active: _state.ActiveRequest
) -> tuple[tuple[str, _state.Probe], ...]:
    """Return the permits that a request has or wants, by their keys."""
    request_id = active.request.request_id
    found = ((key, state.probes.get(key)) for key in active.keys)
    return tuple(
        (key, probe)
        for key, probe in found
        if probe is not None and probe.request_id == request_id
    )


def release(state: _state.State, active: _state.ActiveRequest) -> Effects:
    """Return the permit of a request that has ended or lost its run."""
    emitted: Effects = []
    for key, probe in held(state, active):
        del state.probes[key]
        ended = messages.ProbeEnded(key)
        emitted += [effects.Send(peer, ended) for peer in probe.asked]
    return emitted


def answered(
    state: _state.State, event: events.MessageReceived
) -> tuple[Effects, _state.ActiveRequest | None]:
    """Apply a sidecar's answer; return the request that may be sent.

    A request that is denied gives back what other sidecars may grant it.
    """
    message: messages.ProbeAnswered = event.message
    state.silence = None
    probe = state.probes.get(message.fingerprint)
    if probe is None or event.peer not in probe.asked:
        return [], None
    active = state.requests.get(probe.request_id)
    if active is not None and message.granted:
        probe.granted = True
        return [], active
    if probe.granted:
        return [], None
    del state.probes[message.fingerprint]
    ended = messages.ProbeEnded(message.fingerprint)
    others = [peer for peer in probe.asked if peer != event.peer]
    return [effects.Send(peer, ended) for peer in others], None


def link_opened(state: _state.State, event: events.LinkOpened) -> Effects:
    """Tell a sidecar again of what may not have reached all gateways.

    These are the losses of this gateway that are not settled. What it lost
    without a link has been told to nobody, and a sidecar that started since
    knows of none.
    """
    emitted: Effects = []
    oldest_ms = event.at_ms - _state.CUT_OFF_TTL_MS
    for name, endpoint in state.endpoints.items():
        for fingerprint, run in endpoint.lost.items():
            if run.endpoint_answered or run.lost_ms < oldest_ms:
                continue
            age_ms = event.at_ms - run.lost_ms
            ran_ms = run.lost_ms - run.began_ms
            lost = messages.RunLost(
                fingerprint, name, run.is_probe, age_ms, ran_ms
            )
            emitted.append(effects.Send(event.peer, lost))
    return emitted[-MAX_RETOLD:]


def link_closed(state: _state.State, peer: str, at_ms: int) -> None:
    """Let those that wait for an answer of a sidecar ask another one."""
    if not state.linked_sidecars:
        state.unlinked_ms = at_ms
    for probe in state.probes.values():
        if peer in probe.asked and not probe.granted:
            probe.asked.remove(peer)
            probe.ask_again_ms = clock.NEVER_MS


def run_lost(
    state: _state.State,
    active: _state.ActiveRequest,
    endpoint: str,
    at_ms: int,
) -> Effects:
    """Tell all gateways of a run that was cut off at a direct endpoint."""
    _check_life(state, endpoint, at_ms)
    ran_ms = at_ms - active.offered_ms
    emitted: Effects = []
    for key in active.keys:
        if _quarantine.is_part_cleared(state, key, endpoint, at_ms):
            continue
        is_probe = key in active.probe_for
        lost = messages.RunLost(key, endpoint, is_probe, ran_ms=ran_ms)
        state.unsettled.add(
            key, lost.endpoint, is_probe, at_ms, ran_ms, is_own=True
        )
        state.successes.pop(key, None)
        emitted += _tell(state, key, lost)
    return emitted


def lost_elsewhere(
    state: _state.State, event: events.MessageReceived
) -> Effects:
    """Note a run that another gateway lost."""
    lost: messages.RunLost = event.message
    lost_ms = event.at_ms - max(0, lost.lost_ms_ago)
    if lost_ms <= event.at_ms - _state.CUT_OFF_TTL_MS:
        return []
    if lost.lost_ms_ago and _is_known(state, lost):
        return []
    if _quarantine.is_part_cleared(
        state, lost.fingerprint, lost.endpoint, lost_ms
    ):
        return []
    state.unsettled.add(
        lost.fingerprint,
        lost.endpoint,
        lost.is_probe,
        lost_ms,
        max(0, lost.ran_ms),
    )
    state.successes.pop(lost.fingerprint, None)
    fields = (
        ('fingerprint', lost.fingerprint),
        ('endpoint', lost.endpoint),
        ('is_probe', lost.is_probe),
        ('peer', event.peer),
    )
    return [effects.Log('run lost elsewhere', fields)]


def _is_known(state: _state.State, lost: messages.RunLost) -> bool:
    """Tell whether a loss that is told again is known, or is settled."""
    end = state.suspects.ends.get(lost.endpoint)
    if end is not None and lost.fingerprint in end.fingerprints:
        return True
    return lost.endpoint in state.unsettled.losses.get(lost.fingerprint, {})


def tick(state: _state.State, at_ms: int) -> Effects:
    """Settle the losses at endpoints that other runs show to be alive.

    An endpoint that ends closes all its connections at once.
    """
    emitted: Effects = []
    for name in state.unsettled.endpoints_lost(at_ms - ALIVE_AFTER_MS):
        endpoint = state.endpoints.get(name)
        if endpoint is None:
            continue
        running = [
            active
            for active in map(state.request_of, endpoint.attempts_in_flight)
            if active is not None
            and active.phase is _state.Phase.RELAYING
            and not active.has_ended
        ]
        if running:
            oldest = min(running, key=lambda x: x.offered_ms)
            emitted += endpoint_answered(state, oldest, at_ms)
    for name in [x for x, due in state.life_checks.items() if due <= at_ms]:
        del state.life_checks[name]
        endpoint = state.endpoints.get(name)
        if endpoint is None:
            continue
        emitted.append(effects.CheckLife(name))
        if endpoint.cut_off_ms + ALIVE_AFTER_MS > at_ms:
            _check_life(state, name, endpoint.cut_off_ms)
    return emitted


def _check_life(state: _state.State, name: str, lost_ms: int) -> None:
    """Ask an endpoint that has cut off a run whether it lives, in a while."""
    state.life_checks.setdefault(name, lost_ms + ALIVE_AFTER_MS)


def endpoint_answered(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> Effects:
    """Settle the losses that an endpoint has outlived.

    It has if a run that was sent before goes on long after. A later request
    says the same of losses of this gateway. If the next start may have the
    name, it has to be sent before the lost run was: the endpoint may have
    ended, and started again, before this gateway knew of the loss.
    """
    name = active.endpoint
    endpoint = state.endpoints.get(name)
    if endpoint is None:
        return []
    emitted: Effects = []
    for key in state.unsettled.keys_at(name):
        loss = state.unsettled.loss(key, name)
        lost_ms = loss.lost_ms
        before_ms = lost_ms
        if endpoint.instance.may_restart_under_name:
            before_ms = _earliest_start_ms(state, loss)
        if active.offered_ms <= before_ms:
            is_outlived = at_ms >= lost_ms + ALIVE_AFTER_MS
        else:
            is_outlived = (
                key in endpoint.lost
                and not endpoint.instance.may_restart_under_name
            )
        if not is_outlived:
            continue
        shown_by = active.attempt_id
        emitted += _settle(
            state, key, name, shown_by, active.offered_ms, at_ms
        )
    return emitted


def outlived(state: _state.State, event: events.EndpointOutlived) -> Effects:
    """Settle the losses that a process has outlived, as a check showed.

    It has if it listened before the lost run was sent and still did when all
    that it had sent before an end would have been read.
    """
    name = event.endpoint
    endpoint = state.endpoints.get(name)
    if endpoint is None:
        return []
    emitted: Effects = []
    for key in state.unsettled.keys_at(name):
        loss = state.unsettled.loss(key, name)
        if (
            event.since_ms <= _earliest_start_ms(state, loss)
            and loss.lost_ms + ALIVE_AFTER_MS <= event.until_ms
        ):
            emitted += _settle(
                state, key, name, 'health check', event.since_ms, event.at_ms
            )
    if (
        event.since_ms <= endpoint.doubted_since_ms
        and endpoint.cut_off_ms + ALIVE_AFTER_MS <= event.until_ms
    ):
        endpoint.cut_off_ms = clock.NEVER_MS
    return emitted


def _earliest_start_ms(
    state: _state.State, loss: quarantine.UnsettledLoss
) -> int:
    """Return when a lost run was sent at the earliest.

    Another gateway's report of it takes some time to arrive.
    """
    if loss.is_own:
        return loss.began_ms
    return loss.began_ms - state.options.suspicion.report_delay_ms


def _settle(
    state: _state.State,
    key: str,
    name: str,
    shown_by: str,
    since_ms: int,
    at_ms: int,
) -> Effects:
    """Settle a loss that an endpoint has outlived, at all gateways.

    ``since_ms`` is when what shows it was sent or opened.
    """
    lost_ms = state.unsettled.lost_ms(key, name)
    state.unsettled.settle(key, name)
    _mark_outlived(state.endpoints[name], key, lost_ms)
    fields = (
        ('key', key),
        ('endpoint', name),
        ('shown_by', shown_by),
        ('sent_ms_ago', at_ms - since_ms),
        ('lost_ms_ago', at_ms - lost_ms),
    )
    told = messages.EndpointAnswered(key, name)
    log = effects.Log('endpoint outlived a loss', fields)
    return [log, *_tell(state, key, told)]


def answered_elsewhere(
    state: _state.State, event: events.MessageReceived
) -> Effects:
    """Settle a loss at an endpoint that answered another gateway."""
    message: messages.EndpointAnswered = event.message
    key, name = message.fingerprint, message.endpoint
    state.unsettled.settle(key, name)
    endpoint = state.endpoints.get(name)
    if endpoint is not None:
        _mark_outlived(endpoint, key, event.at_ms - ALIVE_AFTER_MS)
    return []


def _mark_outlived(endpoint: _state.Endpoint, key: str, until_ms: int) -> None:
    """Mark a loss of this gateway that was not its endpoint's end."""
    run = endpoint.lost.get(key)
    if run is not None and run.lost_ms <= until_ms:
        endpoint.lost[key] = dataclasses.replace(run, endpoint_answered=True)


def _may_be_next_start(state: _state.State, name: str) -> bool:
    """Tell whether the next start of an endpoint may have its name."""
    endpoint = state.endpoints.get(name)
    return endpoint is not None and endpoint.instance.may_restart_under_name


def _is_leaving(state: _state.State, name: str) -> bool:
    """Tell whether an endpoint is listed as leaving: its end is no crash."""
    endpoint = state.endpoints.get(name)
    return endpoint is not None and endpoint.instance.leaving


def _ask(
    state: _state.State,
    active: _state.ActiveRequest,
    key: str,
    probe: _state.Probe,
    at_ms: int,
) -> Effects:
    """Ask a sidecar for the permit; without any, take it in time."""
    linked = [x for x in state.linked_sidecars if x not in probe.asked]
    sidecar = rendezvous.highest(key, linked)
    if sidecar is None or len(probe.asked) >= MAX_ASKED:
        silent_ms = _note_silence(state, at_ms)
        ended = len(known_ends(state, key, at_ms))
        may_come_back = state.sidecars and silent_ms < ALONE_AFTER_MS
        if ended >= _quarantine.SEVERAL and may_come_back:
            return []
        probe.granted = True
        fields = (
            ('request_id', active.request.request_id),
            ('key', key),
            ('asked', len(probe.asked)),
            ('ended', ended),
            ('silent_ms', silent_ms),
        )
        text = 'suspect is sent without a permit'
        return [effects.Log(text, fields, warning=True)]
    probe.asked.append(sidecar)
    probe.ask_again_ms = at_ms + ANSWER_MS
    lasts_ms = active.deadline_ms - at_ms + PERMIT_MARGIN_MS
    return [effects.Send(sidecar, messages.ProbeWanted(key, lasts_ms))]


def _note_silence(state: _state.State, at_ms: int) -> int:
    """Note that no sidecar answers; return for how long none has."""
    if not state.linked_sidecars:
        return at_ms - state.unlinked_ms
    silence = state.silence
    if silence is None or at_ms >= silence.last_ms + ALONE_AFTER_MS:
        silence = state.silence = _state.Silence(at_ms, at_ms)
    silence.last_ms = at_ms
    return at_ms - silence.since_ms


def _wait(
    state: _state.State,
    active: _state.ActiveRequest,
    at_ms: int,
    emitted: Effects = (),
) -> Admission:
    if active.permit_wanted_ms is None:
        active.permit_wanted_ms = at_ms
    longest_ms = min(
        MAX_WAIT_MS, (active.deadline_ms - active.arrived_ms) // 2
    )
    if at_ms - active.permit_wanted_ms >= longest_ms:
        return _refuse(state, active, 'others like it run', at_ms)
    active.retry_at_ms = at_ms + state.options.retry_pause_ms
    return Admission(False, tuple(emitted))


def _refuse(
    state: _state.State,
    active: _state.ActiveRequest,
    reason: str,
    at_ms: int,
) -> Admission:
    suspects = [key for key in active.keys if known_ends(state, key, at_ms)]
    fields = (
        ('request_id', active.request.request_id),
        ('fingerprint', active.request.fingerprint),
        ('suspects', ','.join(suspects)),
        ('reason', reason),
    )
    log = effects.Log('suspect refused', fields)
    return Admission(False, (log, *release(state, active)), RETRY_MS)


def _tell(
    state: _state.State,
    fingerprint: str,
    message: messages.RunLost | messages.EndpointAnswered,
) -> Effects:
    """Send a message to the sidecar that forwards it to all gateways."""
    sidecar = rendezvous.highest(fingerprint, state.linked_sidecars)
    return [] if sidecar is None else [effects.Send(sidecar, message)]
