"""Backlog of prompt tokens at direct endpoints.

An endpoint reads prompts one after the other, so a request's wait depends on
the tokens ahead of it rather than on the number of requests. Each gateway
knows exactly what it has sent itself and reports it to the endpoint's sidecar,
which adds up the shares of all gateways.
"""

from berylhollow.gateway import _state
from berylhollow import messages

SMOOTHING_FACTOR = 0.1
"""Weight of the newest sample: the average follows about ten requests."""

MIN_MEASURED_TOKENS = 200
"""Shorter backlogs are not measured. The step time of the endpoint outweighs
the time that it takes to read the prompts."""

MIN_TOKEN_MS = 0.02
MAX_TOKEN_MS = 1.0
"""Bounds of a measured time per token. An endpoint that is frozen, or has the
prompt in its cache, must not make the average far too high or too low."""

INITIAL_TOKEN_MS = 0.05
"""Time per token that is assumed before the first measurement. With 0, a
gateway that has just started would take every backlog for empty. The users'
engines read 20 to 40 tokens in a millisecond."""

MIN_REPORTED_CHANGE_TOKENS = 1000
"""Change of the backlog that is reported to the sidecar at once: about 50 ms
of reading, or half of a usual prompt."""


def add_request(
    endpoint: _state.Endpoint, active: _state.ActiveRequest
) -> None:
    """Add a request's prompt to the backlog of an endpoint."""
    active.queued_tokens = active.request.prompt_tokens
    endpoint.waiting_tokens += active.queued_tokens


def add_attempt(
    endpoint: _state.Endpoint, active: _state.ActiveRequest
) -> None:
    """Add an attempt's prompt and note the tokens up to its end."""
    add_request(endpoint, active)
    active.tokens_ahead = _total_tokens(endpoint)


def record_answer_start(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> None:
    """Remove the prompt and update the average time per token."""
    endpoint = state.endpoints.get(active.endpoint)
    if endpoint is not None:
        remove_request(endpoint, active)
    if active.tokens_ahead < MIN_MEASURED_TOKENS:
        return
    measured_ms = (at_ms - active.offered_ms) / active.tokens_ahead
    measured_ms = min(max(measured_ms, MIN_TOKEN_MS), MAX_TOKEN_MS)
    average_ms = state.token_ms.get(active.service, INITIAL_TOKEN_MS)
    state.token_ms[active.service] = average_ms + SMOOTHING_FACTOR * (
        measured_ms - average_ms
    )


def remove_request(
    endpoint: _state.Endpoint, active: _state.ActiveRequest
) -> None:
    """Remove a request's prompt from the backlog of an endpoint."""
    endpoint.waiting_tokens -= active.queued_tokens
    active.queued_tokens = 0


def before(
    state: _state.State,
    endpoint: _state.Endpoint,
    active: _state.ActiveRequest,
) -> float:
    """Return how long the endpoint needs for the backlog, in ms.

    The request's own prompt is left out if it waits for its adapter there.
    """
    tokens = _total_tokens(endpoint)
    if active.awaiting == endpoint.instance.instance:
        tokens -= active.queued_tokens
    return tokens * token_ms(state, endpoint)


def token_ms(state: _state.State, endpoint: _state.Endpoint) -> float:
    """Return how long the endpoint takes to read one prompt token, in ms.

    As its sidecar has measured it, otherwise the average of its service.
    """
    report = endpoint.report
    if report is not None and report.token_ms > 0:
        return report.token_ms
    service = endpoint.instance.service
    return state.token_ms.get(service, INITIAL_TOKEN_MS)


def read_ms(
    state: _state.State,
    endpoint: _state.Endpoint,
    active: _state.ActiveRequest,
) -> float:
    """Return how long the endpoint takes to read the request's own prompt.

    0 if no endpoint of the service has reported its pace. If some have, the
    average of the service is used for the others: with 0 they would all be
    preferred.
    """
    if not state.placement.measured.get(endpoint.instance.service):
        return 0.0
    return active.request.prompt_tokens * token_ms(state, endpoint)


def others(report: messages.Report, told_tokens: int) -> int:
    """Return the backlog of other gateways from a sidecar's report.

    ``told_tokens`` is this gateway's own share, as last reported to it.
    """
    return max(0, report.waiting_tokens - told_tokens)


def _total_tokens(endpoint: _state.Endpoint) -> int:
    """Return the backlog of all gateways at an endpoint, in tokens."""
    return endpoint.waiting_tokens + endpoint.others_tokens
