"""What one caller or one adapter may have at a gateway at once.

A limit that the configuration declares holds over all gateways; each takes
an equal share of it, since the platform's balancer spreads callers evenly. A
gateway that asked the others before every request would wait for them.
"""

import dataclasses
import math

from berylhollow import errors
from berylhollow import events
from berylhollow.gateway import _state
from berylhollow.util import token_bucket

MS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A limit that a request meets, and when to come back."""

    kind: errors.Kind
    retry_after_ms: int


def admit(
    state: _state.State, request: events.Request, at_ms: int
) -> Refusal | None:
    """Return why a request is over a limit; None counts it as admitted.

    The rate is taken last, so that a request refused for another reason
    does not use the caller's rate up.
    """
    options = state.options
    if len(state.requests) >= options.requests_in_flight:
        return Refusal(errors.Kind.OVERLOADED, options.limit_retry_ms)
    caller = _caller(state, request.caller)
    if caller.in_flight >= caller.in_flight_limit:
        return Refusal(errors.Kind.CALLER_LIMIT, options.limit_retry_ms)
    in_flight = state.adapter_in_flight.get(request.adapter, 0)
    if request.adapter and in_flight >= options.adapter_in_flight:
        return Refusal(errors.Kind.OVERLOADED, options.limit_retry_ms)
    if not caller.rate.take(at_ms):
        wait_ms = int(MS_PER_SECOND / caller.rate.rate_per_s) + 1
        return Refusal(errors.Kind.CALLER_LIMIT, wait_ms)
    caller.in_flight += 1
    caller.seen_ms = at_ms
    state.adapter_in_flight[request.adapter] = in_flight + 1
    return None


def release(state: _state.State, request: events.Request) -> None:
    """Give back what a request counted for."""
    state.callers[request.caller].in_flight -= 1
    left = state.adapter_in_flight[request.adapter] - 1
    if left:
        state.adapter_in_flight[request.adapter] = left
    else:
        del state.adapter_in_flight[request.adapter]


def forget_idle(state: _state.State, at_ms: int) -> bool:
    """Forget callers that were idle long enough to have all their rate.

    Returns whether it was time to look for some.

    Guards against memory that grows with every name a caller makes up.
    """
    if at_ms < state.callers_swept_ms + state.options.caller_idle_ms:
        return False
    state.callers_swept_ms = at_ms
    oldest = at_ms - state.options.caller_idle_ms
    idle = [
        name
        for name, caller in state.callers.items()
        if caller.in_flight == 0 and caller.seen_ms < oldest
    ]
    for name in idle:
        del state.callers[name]
    return True


def _caller(state: _state.State, name: str) -> _state.Caller:
    caller = state.callers.get(name)
    if caller is None:
        options = state.options
        rate = token_bucket.TokenBucket(
            options.caller_rate_per_s, options.caller_burst
        )
        caller = _state.Caller(rate)
        state.callers[name] = caller
    _declare(state, name, caller)
    return caller


def _declare(state: _state.State, name: str, caller: _state.Caller) -> None:
    """Take the caller's limits from the configuration in force."""
    view = state.follower.current
    gateways = 1 + len(state.peers)
    if (caller.revision, caller.gateways) == (view.revision, gateways):
        return
    caller.revision = view.revision
    caller.gateways = gateways
    options = state.options
    limits = view.caller(name).limits
    caller.in_flight_limit = options.caller_in_flight
    if limits.in_flight is not None:
        caller.in_flight_limit = math.ceil(limits.in_flight / gateways)
    caller.rate.rate_per_s = options.caller_rate_per_s
    caller.rate.burst = options.caller_burst
    if limits.rate_per_s is not None:
        caller.rate.rate_per_s = limits.rate_per_s / gateways
        caller.rate.burst = max(1.0, caller.rate.rate_per_s)
