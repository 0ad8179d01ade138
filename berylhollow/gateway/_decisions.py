"""Log lines for decisions about requests at direct endpoints.

Each has the request's id, the data behind the decision, the age of the data,
and the outcome, so that the logs alone explain why a request failed.
"""

from berylhollow import effects
from berylhollow import errors
from berylhollow.gateway import _backlog
from berylhollow.gateway import _budget
from berylhollow.gateway import _state
from berylhollow.gateway import _superseded
from berylhollow import messages


def offer_log(
    state: _state.State,
    active: _state.ActiveRequest,
    offer: messages.Offer,
    at_ms: int,
) -> effects.Log:
    """Return the log line for an attempt that is sent to an endpoint."""
    endpoint = state.endpoints[active.endpoint]
    last_refusal = active.last_refusal
    superseded_ms = _superseded.superseded_for_ms(state, offer.adapter, at_ms)
    report_age_ms = None
    if endpoint.report_at_ms:
        report_age_ms = at_ms - endpoint.report_at_ms
    return effects.Log(
        'attempt offered',
        (
            ('request_id', active.request.request_id),
            ('attempt_id', offer.attempt_id),
            ('endpoint', active.endpoint),
            ('service', active.service),
            ('adapter', str(offer.adapter) if offer.adapter else ''),
            ('superseded_ms', superseded_ms),
            ('remaining_ms', offer.remaining_ms),
            ('waited_ms', at_ms - active.arrived_ms),
            ('in_flight', len(endpoint.attempts_in_flight)),
            ('backlog_ms', round(_backlog.before(state, endpoint, active))),
            ('others_tokens', endpoint.others_tokens),
            *_pace_fields(state, endpoint, active),
            ('report_age_ms', report_age_ms),
            ('list_age_ms', state.list_age_ms(at_ms)),
            ('rate_per_s', endpoint.notice.rate_per_s),
            ('revision', offer.revision),
            ('after', last_refusal.kind.value if last_refusal else None),
            ('fingerprint', active.request.fingerprint),
            ('crashes_known', active.crashes_known),
            ('software_version', endpoint.instance.software_version),
        ),
    )


def _pace_fields(
    state: _state.State,
    endpoint: _state.Endpoint,
    active: _state.ActiveRequest,
) -> tuple[tuple[str, object], ...]:
    """Return the pace of the endpoint, empty if the choice didn't use it."""
    read_ms = _backlog.read_ms(state, endpoint, active)
    if not read_ms:
        return ()
    report = endpoint.report
    share = None if report is None else round(report.read_share, 2)
    token_ms = round(_backlog.token_ms(state, endpoint), 4)
    return (
        ('token_ms', token_ms),
        ('read_ms', round(read_ms)),
        ('read_share', share),
    )


def other_version_log(
    state: _state.State, active: _state.ActiveRequest
) -> effects.Log:
    """Return the log line for a resumed stream that must not go on there."""
    endpoint = state.endpoints.get(active.endpoint)
    report = None if endpoint is None else endpoint.report
    listed = '' if endpoint is None else endpoint.instance.software_version
    return effects.Log(
        'endpoint has another software version',
        (
            ('request_id', active.request.request_id),
            ('attempt_id', active.attempt_id),
            ('endpoint', active.endpoint),
            ('reported_start', '' if report is None else report.epoch),
            ('listed_version', listed),
            ('software_version', active.software_version),
        ),
    )


def superseded_begin_logs(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> list[effects.Log]:
    """Return the log line for an answer that begins on an old version."""
    adapter = active.offered_adapter
    if _superseded.superseded_for_ms(state, adapter, at_ms) is None:
        return []
    text = 'answer begins on a superseded version'
    return [effects.Log(text, _superseded_fields(state, active, at_ms))]


def superseded_end_log(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> effects.Log:
    """Return the log line for an attempt that might begin too late."""
    text = 'attempt on a superseded version ended'
    return effects.Log(text, _superseded_fields(state, active, at_ms))


def _superseded_fields(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> tuple[tuple[str, object], ...]:
    adapter = active.offered_adapter
    superseded_ms = _superseded.superseded_for_ms(state, adapter, at_ms)
    return (
        ('request_id', active.request.request_id),
        ('attempt_id', active.attempt_id),
        ('endpoint', active.endpoint),
        ('adapter', str(adapter)),
        ('superseded_ms', superseded_ms),
        ('limit_ms', state.options.version_limit_ms),
        ('waited_ms', at_ms - active.offered_ms),
    )


def give_up_logs(
    state: _state.State,
    active: _state.ActiveRequest,
    kind: errors.Kind,
    ran: errors.Ran,
    retry_after_ms: int,
) -> list[effects.Log]:
    """Return the log lines for a request that fails for good."""
    if not state.options.needs_instances:
        return []
    usable_count = sum(
        endpoint.is_usable and endpoint.instance.service == active.service
        for endpoint in state.endpoints.values()
    )
    configuration = state.follower.current
    fields = (
        ('request_id', active.request.request_id),
        ('kind', kind.value),
        ('ran', ran.value),
        ('service', active.service),
        ('adapter', str(active.request.adapter or '')),
        ('attempts', active.attempts),
        ('runs', active.runs),
        ('most_runs', active.most_runs),
        ('awaited_endpoint', active.awaiting),
        ('endpoints_usable', usable_count),
        ('endpoints_limited', len(state.rate_limited)),
        ('retries_left', round(_budget.retries_left(state, active), 1)),
        ('retry_after_ms', retry_after_ms),
        ('revision', configuration.revision if configuration else 0),
        ('stopping', state.stopping),
    )
    return [effects.Log('request given up', fields)]
