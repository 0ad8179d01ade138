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
from berylhollow.gateway import _quarantine
from berylhollow.gateway import _state
from berylhollow import messages
from berylhollow import quarantine

Effects = list[effects.Effect]

CUT_OFF_KINDS = frozenset(
    {errors.Kind.ENGINE_RESTARTED, errors.Kind.STREAM_BROKEN}
)

CUT_OFF_TTL_MS = 10_000
"""How long a cut-off run is remembered. A crashed endpoint is detected within
three heartbeats of about a second, and is back a few seconds later."""

MAX_CUT_OFF_REQUESTS = 256
"""Bound for each endpoint, above the number that it runs at once."""


def record_cut_off(
    state: _state.State,
    active: _state.ActiveRequest,
    failure: messages.Failed,
    at_ms: int,
) -> None:
    """Record a request whose run at a direct endpoint was cut off."""
    endpoint = state.endpoints.get(active.endpoint)
    if endpoint is None or not endpoint.instance.direct:
        return
    if (
        failure.kind not in CUT_OFF_KINDS
        or len(endpoint.lost) >= MAX_CUT_OFF_REQUESTS
    ):
        return
    endpoint.lost[active.request.fingerprint] = at_ms


def report_crash(state: _state.State, name: str, at_ms: int) -> Effects:
    """Report the runs cut off at an endpoint that ended without draining."""
    endpoint = state.endpoints.get(name)
    if endpoint is None or not endpoint.lost:
        return []
    oldest = at_ms - CUT_OFF_TTL_MS
    suspects = tuple(
        fingerprint
        for fingerprint, lost_ms in endpoint.lost.items()
        if lost_ms >= oldest
    )
    endpoint.lost.clear()
    if not suspects:
        return []
    service = endpoint.instance.service
    crash_id = quarantine.reported_crash_id(name, state.options.instance)
    message = messages.Crashed(crash_id, service, suspects)
    result: Effects = [
        effects.Send(peer, message)
        for peer, sidecar in state.sidecars.items()
        if sidecar.link is _state.LinkPhase.OPEN
    ]
    fields = (('endpoint', name), ('suspects', len(suspects)))
    result.append(effects.Log('endpoint crashed', fields, warning=True))
    crash = quarantine.Crash(crash_id, service, suspects)
    return result + _quarantine.seen(state, crash, at_ms)


def clear_suspicion(state: _state.State, active: _state.ActiveRequest) -> None:
    """Clear a request that has succeeded at a direct endpoint."""
    endpoint = state.endpoints.get(active.endpoint)
    if endpoint is None or not endpoint.instance.direct:
        return
    fingerprint = active.request.fingerprint
    if fingerprint in state.suspects.suspicions:
        state.suspects.clear(fingerprint)
