"""Detection of requests that may have crashed a direct endpoint.

Guards against a request that crashes one endpoint after the other because its
caller, or a retry, sends it to the next each time. No sidecar sees the
requests of a direct endpoint. Each gateway therefore records the runs that
were cut off there, and when the endpoint turns out to have ended, it reports
them as suspects to the other gateways through the sidecars.

A connection that breaks while its endpoint lives is no crash. A request that
runs to its end at a direct endpoint is cleared, since a crash also cuts off
innocent requests and many requests have the same fingerprint.
"""

from berylhollow import effects
from berylhollow import errors
from berylhollow.gateway import _probes
from berylhollow.gateway import _prompt_parts
from berylhollow.gateway import _quarantine
from berylhollow.gateway import _state
from berylhollow import messages
from berylhollow import quarantine

Effects = list[effects.Effect]

CUT_OFF_KINDS = frozenset(
    {errors.Kind.ENGINE_RESTARTED, errors.Kind.STREAM_BROKEN}
)

MAX_CUT_OFF_KEYS = 1024
"""Bound for each endpoint, above what it runs at once."""


def record_cut_off(
    state: _state.State,
    active: _state.ActiveRequest,
    failure: messages.Failed,
    at_ms: int,
) -> Effects:
    """Record a request whose run at a direct endpoint was cut off."""
    name = _start_met(state, active)
    endpoint = state.endpoints.get(name)
    if endpoint is None or not endpoint.instance.direct:
        return []
    if failure.kind not in CUT_OFF_KINDS:
        return []
    _prompt_parts.run_lost(state, active)
    result = _probes.run_lost(state, active, name, at_ms)
    for key in active.keys:
        if not _quarantine.is_part_cleared(state, key, name, at_ms):
            _record_loss(endpoint, active, key, at_ms)
    for key in active.keys[1:]:
        result += _prompt_parts.excuse(state, key, name, at_ms)
    fields = (
        ('request_id', active.request.request_id),
        ('attempt_id', active.attempt_id),
        ('fingerprint', active.request.fingerprint),
        ('prompt_parts', ','.join(active.request.shared_parts)),
        ('service', active.service),
        ('endpoint', name),
        ('kind', failure.kind.value),
        ('ran_ms', at_ms - active.offered_ms),
        ('crashes_known', active.crashes_known),
        ('is_probe', active.is_probe),
        ('probe_for', ','.join(active.probe_for)),
    )
    return [*result, effects.Log('run cut off', fields)]


def _start_met(state: _state.State, active: _state.ActiveRequest) -> str:
    """Return the start of an endpoint that has a request's run.

    A run that was sent to a start after its end has met the next one under
    its name, before that was listed.
    """
    name = active.endpoint
    endpoint = state.endpoints.get(name)
    if endpoint is None or endpoint.listed:
        return name
    if endpoint.ended_ms is not None and active.offered_ms < endpoint.ended_ms:
        return name
    return next(
        (
            other
            for other, next_start in state.endpoints.items()
            if next_start.listed
            and next_start.instance.may_restart_under_name
            and next_start.instance.listed_name
            == endpoint.instance.listed_name
        ),
        name,
    )


def _record_loss(
    endpoint: _state.Endpoint,
    active: _state.ActiveRequest,
    key: str,
    at_ms: int,
) -> None:
    """Record the loss of a run for a key, unless one is recorded there.

    The probe for a part goes before other runs with that part.
    """
    is_probe = key in active.probe_for
    known = endpoint.lost.get(key)
    if known is None and len(endpoint.lost) >= MAX_CUT_OFF_KEYS:
        return
    if (
        known is not None
        and not known.endpoint_answered
        and known.lost_ms >= at_ms - _state.CUT_OFF_TTL_MS
        and not (is_probe and quarantine.is_part(key))
    ):
        return
    crashes_known = active.part_crashes_known.get(key, 0)
    if not quarantine.is_part(key):
        crashes_known = active.crashes_known
    endpoint.lost[key] = _state.CutOffRun(
        active.offered_ms, at_ms, crashes_known, is_probe
    )


def report_crash(state: _state.State, name: str, at_ms: int) -> Effects:
    """Report the runs cut off at an endpoint that ended without draining."""
    endpoint = state.endpoints.get(name)
    if endpoint is None or not endpoint.lost:
        return []
    oldest = at_ms - _state.CUT_OFF_TTL_MS
    recent = {
        fingerprint: run
        for fingerprint, run in endpoint.lost.items()
        if run.lost_ms >= oldest
    }
    # The endpoint outlived the runs after which it answered. If it seems to
    # have outlived all, a new start under its name may have answered.
    lost_at_end = {
        fingerprint: run
        for fingerprint, run in recent.items()
        if not run.endpoint_answered
    }
    runs = {
        fingerprint: _lost_run(state, fingerprint, run, at_ms)
        for fingerprint, run in (lost_at_end or recent).items()
    }
    endpoint.lost.clear()
    if not runs:
        return []
    endpoint.ended_ms = min(recent[x].lost_ms for x in runs)
    service = endpoint.instance.service
    crash_id = quarantine.reported_crash_id(name, state.options.instance)
    lost = tuple(runs.values())
    message = messages.Crashed(crash_id, service, tuple(runs), lost)
    result: Effects = [
        effects.Send(peer, message) for peer in state.linked_sidecars
    ]
    fields = (('endpoint', name), ('suspects', len(runs)))
    result.append(effects.Log('endpoint crashed', fields, warning=True))
    crash = quarantine.Crash(crash_id, service, tuple(runs), lost)
    return result + _quarantine.seen(state, crash, at_ms)


def _lost_run(
    state: _state.State, fingerprint: str, run: _state.CutOffRun, at_ms: int
) -> messages.LostRun:
    """Return a run as it is reported; crashes disproved since don't count.

    Those of a part may not be counted yet, as the list shows ends with a lag.
    """
    crashes_known = run.crashes_known
    if not quarantine.is_part(fingerprint):
        known_now = state.suspects.crashes(fingerprint)
        crashes_known = min(crashes_known, known_now)
    return messages.LostRun(
        crashes_known,
        at_ms - run.began_ms,
        at_ms - run.lost_ms,
        run.is_probe,
    )
