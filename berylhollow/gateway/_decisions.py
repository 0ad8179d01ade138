"""Log lines of decisions about requests at direct endpoints.

Each has the request's id, what decided, how old that was, and the outcome, so
that a failed request can be explained from the logs alone.
"""

from berylhollow import effects
from berylhollow import errors
from berylhollow.gateway import _backlog
from berylhollow.gateway import _budget
from berylhollow.gateway import _state
from berylhollow import messages


def offered(
    state: _state.State,
    active: _state.ActiveRequest,
    offer: messages.Offer,
    at_ms: int,
) -> effects.Log:
    """An endpoint was chosen and the request is sent to it."""
    endpoint = state.endpoints[active.endpoint]
    last = active.last_refusal
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
            ('remaining_ms', offer.remaining_ms),
            ('waited_ms', at_ms - active.arrived_ms),
            ('in_flight', len(endpoint.placed)),
            ('backlog_ms', round(_backlog.before(state, endpoint, active))),
            ('others_tokens', endpoint.others_tokens),
            ('report_age_ms', report_age_ms),
            ('list_age_ms', state.list_age_ms(at_ms)),
            ('rate_per_s', endpoint.notice.rate_per_s),
            ('revision', offer.revision),
            ('after', last.kind.value if last else None),
        ),
    )


def given_up(
    state: _state.State,
    active: _state.ActiveRequest,
    kind: errors.Kind,
    ran: errors.Ran,
    retry_after_ms: int,
) -> list[effects.Log]:
    """The request gets an error as its final answer."""
    if not state.options.needs_instances:
        return []
    usable = sum(
        endpoint.usable and endpoint.instance.service == active.service
        for endpoint in state.endpoints.values()
    )
    view = state.follower.current
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
        ('endpoints_usable', usable),
        ('endpoints_limited', len(state.rate_limited)),
        ('retries_left', round(_budget.level(state, active), 1)),
        ('retry_after_ms', retry_after_ms),
        ('revision', view.revision if view else 0),
        ('stopping', state.stopping),
    )
    return [effects.Log('request given up', fields)]
