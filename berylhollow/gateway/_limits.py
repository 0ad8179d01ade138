"""Limits of one caller and of one adapter at a gateway.

A limit declared in the configuration applies to all gateways together; each
takes an equal share of it, since the platform's balancer spreads callers
evenly. Asking the other gateways would delay every request.
"""

import math

from berylhollow import errors
from berylhollow import events
from berylhollow.gateway import _refusal
from berylhollow.gateway import _state
from berylhollow.util import token_bucket

MS_PER_SECOND = 1000


def admit(
    state: _state.State, request: events.Request, at_ms: int
) -> _refusal.Refusal | None:
    """Admit and count a request, or return why it is refused.

    The rate is checked last, so that a request refused for another reason
    does not use up the caller's rate.
    """
    options = state.options
    if len(state.requests) >= options.requests_in_flight:
        return _refusal.Refusal(errors.Kind.OVERLOADED, options.limit_retry_ms)
    caller = _get_or_add_caller(state, request.caller)
    if caller.in_flight >= caller.in_flight_limit:
        return _refusal.Refusal(
            errors.Kind.CALLER_LIMIT, options.limit_retry_ms
        )
    in_flight = state.adapter_in_flight.get(request.adapter, 0)
    if request.adapter and in_flight >= options.adapter_in_flight:
        return _refusal.Refusal(errors.Kind.OVERLOADED, options.limit_retry_ms)
    if not caller.rate.try_take(at_ms):
        wait_ms = int(MS_PER_SECOND / caller.rate.rate_per_s) + 1
        return _refusal.Refusal(errors.Kind.CALLER_LIMIT, wait_ms)
    caller.in_flight += 1
    caller.seen_ms = at_ms
    state.adapter_in_flight[request.adapter] = in_flight + 1
    return None


def release(state: _state.State, request: events.Request) -> None:
    """Stop counting a request as in flight."""
    state.callers[request.caller].in_flight -= 1
    left = state.adapter_in_flight[request.adapter] - 1
    if left:
        state.adapter_in_flight[request.adapter] = left
    else:
        del state.adapter_in_flight[request.adapter]


def remove_idle_callers(state: _state.State, at_ms: int) -> bool:
    """Remove callers idle for long enough that their rate has refilled.

    Returns whether a check for idle callers was due.

    Without it memory would grow with every name that a caller makes up.
    """
    if at_ms < state.callers_swept_ms + state.options.caller_idle_ms:
        return False
    state.callers_swept_ms = at_ms
    oldest_ms = at_ms - state.options.caller_idle_ms
    idle = [
        name
        for name, caller in state.callers.items()
        if caller.in_flight == 0 and caller.seen_ms < oldest_ms
    ]
    for name in idle:
        del state.callers[name]
    return True


def _get_or_add_caller(state: _state.State, name: str) -> _state.Caller:
    caller = state.callers.get(name)
    if caller is None:
        options = state.options
        rate = token_bucket.TokenBucket(
            options.caller_rate_per_s, options.caller_burst
        )
        caller = _state.Caller(rate)
        state.callers[name] = caller
    _update_limits(state, name, caller)
    return caller


def _update_limits(
    state: _state.State, name: str, caller: _state.Caller
) -> None:
    """Update a caller's limits from the configuration in force."""
    configuration = state.follower.current
    gateways = 1 + len(state.peers)
    if (caller.revision, caller.gateways) == (
        configuration.revision,
        gateways,
    ):
        return
    caller.revision = configuration.revision
    caller.gateways = gateways
    options = state.options
    limits = configuration.caller(name).limits
    caller.in_flight_limit = options.caller_in_flight
    if limits.in_flight is not None:
        caller.in_flight_limit = math.ceil(limits.in_flight / gateways)
    caller.rate.rate_per_s = options.caller_rate_per_s
    caller.rate.burst = options.caller_burst
    if limits.rate_per_s is not None:
        caller.rate.rate_per_s = limits.rate_per_s / gateways
        caller.rate.burst = max(1.0, caller.rate.rate_per_s)
