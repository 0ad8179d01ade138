"""Rate limits of endpoints: which gateway may send the next request.

An endpoint's rate limit applies to all gateways together. One sidecar, which
all gateways choose alike, is the lender: it lends them single requests. A
gateway without a loan sends nothing to the endpoint.

Loans are for the name in the instance list: until all gateways have read of
a restart, some of their requests are sent under the start before, and reach
the new one.
"""

from berylhollow import clock
from berylhollow import effects
from berylhollow import events
from berylhollow.gateway import _resumption
from berylhollow.gateway import _state
from berylhollow import messages
from berylhollow.policy import rendezvous
from berylhollow import rate_limits

Effects = list[effects.Effect]

ASSUMED_GATEWAYS = 1000
"""Number of gateways assumed before any sidecar has reported it."""


def has_room(
    state: _state.State,
    active: _state.ActiveRequest,
    endpoint: _state.Endpoint,
    at_ms: int,
) -> bool:
    """Tell whether an endpoint's rate limit allows it a request now.

    Requests that already wait there go first, but not before one that has
    been admitted there.
    """
    if endpoint.notice.rate_per_s is None:
        return True
    if active.is_admitted_at(endpoint.instance.instance):
        return endpoint.loan.room(at_ms) > 0
    name = endpoint.instance.instance
    waiting = state.awaiting_adapter.get(name, {})
    ahead = len(waiting) - (active.request.request_id in waiting)
    return endpoint.loan.room(at_ms) > ahead


def spend(endpoint: _state.Endpoint, at_ms: int) -> None:
    """Count a sent request against the endpoint's rate limit."""
    if endpoint.notice.rate_per_s is not None:
        endpoint.loan.spend(at_ms)


def endpoints_at_limit(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> list[_state.Endpoint]:
    """Return the endpoints ruled out for a request only by a rate limit."""
    limited = []
    for name in state.rate_limited:
        endpoint = state.endpoints.get(name)
        if (
            endpoint is not None
            and endpoint.instance.service == active.service
            and name not in active.tried_endpoints
            and endpoint.is_usable_at(at_ms)
            and _resumption.may_run_at(state, active, name)
            and not has_room(state, active, endpoint, at_ms)
        ):
            limited.append(endpoint)
    return limited


def request_loans(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> Effects:
    """Ask the lender of each endpoint whose rate limit rules it out."""
    emitted: Effects = []
    for endpoint in endpoints_at_limit(state, active, at_ms):
        endpoint.loan.record_miss(at_ms)
        emitted += _request_loan(state, endpoint, at_ms)
    return emitted


def may_await(
    active: _state.ActiveRequest,
    endpoints: list[_state.Endpoint],
    at_ms: int,
) -> bool:
    """Tell whether a request may wait for a lender's answer.

    It waits for the time of one answer only, however often lenders are asked.
    """
    if active.room_asked_ms is None:
        active.room_asked_ms = at_ms
    if at_ms - active.room_asked_ms >= rate_limits.ANSWER_MS:
        return False
    return any(
        endpoint.loan.is_awaiting_answer(at_ms) for endpoint in endpoints
    )


def wait_ms(endpoints: list[_state.Endpoint], seed: float, at_ms: int) -> int:
    """Return the retry delay of a caller refused by rate limits.

    Spread over the interval between two requests at the combined rate, as all
    refused callers would otherwise retry at the same moment.
    """
    first_ms = min(endpoint.loan.wait_ms(at_ms) for endpoint in endpoints)
    rate_per_s = sum(endpoint.notice.rate_per_s for endpoint in endpoints)
    spread_ms = clock.MS_PER_SECOND / max(rate_per_s, 1.0)
    return first_ms + int(seed * spread_ms)


def tick(state: _state.State, at_ms: int) -> Effects:
    """Choose and ask lenders; without one, accumulate a share of the rate."""
    if not state.rate_limited:
        return []
    emitted: Effects = []
    linked = state.linked_sidecars
    for name in list(state.rate_limited):
        endpoint = state.endpoints.get(name)
        if endpoint is None or endpoint.notice.rate_per_s is None:
            del state.rate_limited[name]
            continue
        emitted += _choose_lender(endpoint, linked, at_ms)
        rate_per_s = endpoint.notice.rate_per_s
        endpoint.loan.fill_own_bucket(rate_per_s, _gateway_count(state), at_ms)
        emitted += _request_loan(state, endpoint, at_ms)
    return emitted


def rate_lent(
    state: _state.State, event: events.MessageReceived
) -> list[_state.ActiveRequest]:
    """Apply a lender's answer; return the requests that may wait for it."""
    message = event.message
    endpoint = _borrower(state, message.endpoint, event)
    if endpoint is None:
        return []
    endpoint.loan.take_answer(message.count, message.wait_ms, event.at_ms)
    return [
        active
        for active in state.requests.values()
        if active.room_asked_ms is not None
        and active.phase is _state.Phase.WAITING
        and active.service == endpoint.instance.service
    ]


def _borrower(
    state: _state.State, listed_name: str, event: events.MessageReceived
) -> _state.Endpoint | None:
    """Return the endpoint whose lender has answered, None if none waits."""
    for name in state.rate_limited:
        endpoint = state.endpoints.get(name)
        if (
            endpoint is not None
            and endpoint.instance.listed_name == listed_name
            and endpoint.loan.lender == event.peer
            and endpoint.loan.is_awaiting_answer(event.at_ms)
        ):
            return endpoint
    return None


def _choose_lender(
    endpoint: _state.Endpoint, linked: tuple[str, ...], at_ms: int
) -> Effects:
    """Choose a lender if there is none or the linked sidecars have changed.

    The sidecars are not ranked again at every tick.
    """
    loan = endpoint.loan
    if loan.lender and loan.candidates == linked:
        return []
    loan.candidates = linked
    name = endpoint.instance.listed_name
    lender = ''
    if not loan.lender or loan.lender in linked:
        lender = rendezvous.highest(name, linked) or ''
    if not loan.set_lender(lender, at_ms):
        return []
    fields = (('endpoint', endpoint.instance.instance), ('lender', lender))
    return [effects.Log('lender of a rate limit chosen', fields)]


def _request_loan(
    state: _state.State, endpoint: _state.Endpoint, at_ms: int
) -> Effects:
    loan = endpoint.loan
    if not loan.should_ask(at_ms):
        return []
    rate_per_s = endpoint.notice.rate_per_s
    wanted = messages.RateWanted(
        endpoint.instance.listed_name,
        rate_per_s,
        loan.begin_asking(rate_per_s, at_ms),
    )
    return [effects.Send(loan.lender, wanted)]


def _gateway_count(state: _state.State) -> int:
    if all(sidecar.heard_ms < 0 for sidecar in state.sidecars.values()):
        return ASSUMED_GATEWAYS
    return state.gateways
