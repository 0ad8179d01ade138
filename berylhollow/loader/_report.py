"""What a loader tells the gateways of its endpoint."""

from berylhollow import effects
from berylhollow.loader import _plan
from berylhollow.loader import _state
from berylhollow import messages

Effects = list[effects.Effect]

NEWS_TOKENS = 4000
"""Change in the prompts that wait here that gateways are told of: about two
hundred milliseconds of reading, a fifth of what callers wait for a first
token."""


def tell(state: _state.State, at_ms: int) -> Effects:
    """Report to every gateway when it matters, else now and then."""
    if state.adapters is None:
        return []
    report = _report(state, at_ms)
    if _due(state, report, at_ms):
        state.reported = state.told_users = report
        state.reported_ms = at_ms
        return [effects.Send(peer, report) for peer in state.links]
    if _servable(report) == _servable(state.told_users):
        return []
    state.told_users = report
    return [
        effects.Send(peer, report)
        for peer in state.demand.users()
        if peer in state.links
    ]


def tell_one(state: _state.State, peer: str, at_ms: int) -> Effects:
    """Report to a gateway that has just come."""
    if state.adapters is None:
        return []
    return [effects.Send(peer, _report(state, at_ms))]


def _due(state: _state.State, report: messages.Report, at_ms: int) -> bool:
    """Tell whether gateways need the report now.

    Every gateway is told, so what is told often grows with the square of
    the deployment: on a hundred slots that load forty adapters a second,
    telling of each step of each load was most of the bytes between failure
    domains. Whether the endpoint serves at all is told at once; all else can
    wait a little, and whom it concerns hears of its adapters before.
    """
    last = state.reported
    age_ms = at_ms - state.reported_ms
    if last is None or age_ms >= state.options.report_ms:
        return True
    if _standing(report) != _standing(last):
        return True
    if age_ms < state.options.hint_ms:
        return False
    if _servable(report) != _servable(last):
        return True
    news = abs(report.waiting_tokens - last.waiting_tokens)
    return news >= NEWS_TOKENS or _hints(report) != _hints(last)


def _standing(report: messages.Report) -> tuple:
    """Return what decides whether the endpoint serves at all."""
    return report.ready, report.epoch, report.model_load


def _servable(report: messages.Report) -> set:
    """Return the adapters that requests can be sent on."""
    return {slot.adapter for slot in report.slots if slot.ready}


def _hints(report: messages.Report) -> tuple:
    """Return what only decides where a load is asked for.

    A load that is waited for and one under way are the same to gateways.
    """
    loading = {slot.adapter for slot in report.slots if not slot.ready}
    return loading.union(report.wanted), report.evictable


def _report(state: _state.State, at_ms: int) -> messages.Report:
    adapters = state.adapters
    needs = state.demand.needs
    found = _plan.victim(state, needs, at_ms)
    taken = len(adapters.held) + len(adapters.loading)
    free = taken < state.slots
    wanted = _plan.wanted(state, needs)
    return messages.Report(
        instance=state.options.instance,
        service=state.options.service,
        failure_domain=state.options.failure_domain,
        epoch='' if state.endpoint is None else str(state.endpoint),
        ready=bool(adapters.models) and not state.unreachable,
        leaving=False,
        slots=_slots(adapters),
        wanted=tuple(need.adapter for need in wanted),
        running=adapters.running,
        queued=adapters.waiting,
        capacity=0,
        revision=state.demand.revision,
        evictable=free or found is not None,
        victim_value=0.0 if free or found is None else found[1],
        gateways=max(1, len(state.links)),
        model_load=state.model_load,
        waiting_tokens=state.demand.waiting_tokens,
    )


def _slots(adapters) -> tuple[messages.SlotReport, ...]:
    """Return the adapters that are there, then those on their way.

    One that is being replaced is on its way: the endpoint refuses requests
    for it meanwhile.
    """
    loading = {adapter.adapter for adapter in adapters.loading}
    ready = [a for a in adapters.held if a.adapter not in loading]
    rows = [(adapter, True) for adapter in ready]
    rows += [(adapter, False) for adapter in adapters.loading]
    return tuple(
        messages.SlotReport(number, adapter, is_ready, 0)
        for number, (adapter, is_ready) in enumerate(rows)
    )
