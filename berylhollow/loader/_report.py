"""Reports of the endpoint's state from its loader to the gateways."""

from berylhollow import effects
from berylhollow.loader import _plan
from berylhollow.loader import _state
from berylhollow import messages

Effects = list[effects.Effect]

MIN_TOKENS_CHANGE = 4000
"""Change in the number of waiting prompt tokens that causes a new report:
about two hundred milliseconds of prompt processing, a fifth of the time that
callers wait for a first token."""


def send_if_due(state: _state.State, at_ms: int) -> Effects:
    """Send a report to every gateway if one is due.

    If none is due but the set of ready adapters has changed, only the gateways
    with requests here receive it.
    """
    if state.adapters is None:
        return []
    report = _build_report(state, at_ms)
    if _is_due(state, report, at_ms):
        state.reported = state.reported_to_users = report
        state.reported_ms = at_ms
        return [effects.Send(peer, report) for peer in state.links]
    if _ready_adapters(report) == _ready_adapters(state.reported_to_users):
        return []
    state.reported_to_users = report
    return [
        effects.Send(peer, report)
        for peer in state.demand.gateways_with_requests()
        if peer in state.links
    ]


def send_to(state: _state.State, peer: str, at_ms: int) -> Effects:
    """Send a report to a gateway that has just connected."""
    if state.adapters is None:
        return []
    return [effects.Send(peer, _build_report(state, at_ms))]


def _is_due(state: _state.State, report: messages.Report, at_ms: int) -> bool:
    """Return whether the report has to be sent to all gateways now.

    Each endpoint reports to every gateway, so the traffic grows with the
    square of the deployment: with a hundred slots that load forty adapters a
    second, reporting each step of each load was most of the bytes between
    failure domains. A change in whether the endpoint serves is therefore
    reported at once; other changes wait for ``min_report_interval_ms``.
    Gateways with requests here are sent changes of the ready adapters
    earlier, see ``send_if_due``.
    """
    last = state.reported
    age_ms = at_ms - state.reported_ms
    if last is None or age_ms >= state.options.report_ms:
        return True
    if _serving_state(report) != _serving_state(last):
        return True
    if age_ms < state.options.min_report_interval_ms:
        return False
    if report.revision != last.revision:
        return True
    if _ready_adapters(report) != _ready_adapters(last):
        return True
    tokens_change = abs(report.waiting_tokens - last.waiting_tokens)
    return tokens_change >= MIN_TOKENS_CHANGE or _hints(report) != _hints(last)


def _serving_state(report: messages.Report) -> tuple:
    """Return the fields that decide whether the endpoint serves."""
    return report.ready, report.epoch, report.model_load


def _ready_adapters(report: messages.Report) -> set:
    """Return the adapters that are ready to serve requests."""
    return {slot.adapter for slot in report.slots if slot.ready}


def _hints(report: messages.Report) -> tuple:
    """Return the fields that gateways use to choose where to load an adapter.

    Gateways treat a wanted load and one under way alike.
    """
    loading = {slot.adapter for slot in report.slots if not slot.ready}
    return loading.union(report.wanted), report.evictable


def _build_report(state: _state.State, at_ms: int) -> messages.Report:
    adapters = state.adapters
    needs = state.demand.needs
    candidate = _plan.eviction_candidate(state, needs, at_ms)
    used_slots = len(adapters.held) + len(adapters.loading)
    has_room = used_slots < state.slots
    missing = _plan.missing_adapters(state, needs)
    return messages.Report(
        instance=state.options.instance,
        service=state.options.service,
        failure_domain=state.options.failure_domain,
        epoch='' if state.endpoint is None else str(state.endpoint),
        ready=bool(adapters.models) and not state.is_unreachable,
        leaving=False,
        slots=_slots(adapters),
        wanted=tuple(need.adapter for need in missing),
        running=adapters.running,
        queued=adapters.waiting,
        capacity=0,
        revision=state.demand.revision,
        evictable=has_room or candidate is not None,
        victim_value=0.0 if has_room or candidate is None else candidate[1],
        gateways=max(1, len(state.links)),
        model_load=state.model_load,
        waiting_tokens=state.demand.waiting_tokens,
        token_ms=state.admissions.measured_token_ms,
        read_share=state.admissions.read_share(at_ms),
        keeps_origins=True,
    )


def _slots(adapters) -> tuple[messages.SlotReport, ...]:
    """Return the ready adapters, then the loading ones.

    An adapter that is being replaced counts as loading: the endpoint refuses
    requests for it until the new version is loaded.
    """
    loading = {adapter.adapter for adapter in adapters.loading}
    ready = [a for a in adapters.held if a.adapter not in loading]
    entries = [(adapter, True) for adapter in ready]
    entries += [(adapter, False) for adapter in adapters.loading]
    return tuple(
        messages.SlotReport(number, adapter, is_ready, 0)
        for number, (adapter, is_ready) in enumerate(entries)
    )
