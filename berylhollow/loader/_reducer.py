"""The reducer that handles all events of a loader."""

from berylhollow import effects
from berylhollow import events
from berylhollow.loader import _admissions
from berylhollow.loader import _kept_crashes
from berylhollow.loader import _kept_record
from berylhollow.loader import _origins
from berylhollow.loader import _plan
from berylhollow.loader import _probes
from berylhollow.loader import _report
from berylhollow.loader import _state
from berylhollow import messages

Effects = list[effects.Effect]

SUCCESS_VERDICTS = (
    events.OrderVerdict.ACCEPTED,
    events.OrderVerdict.HELD_ALREADY,
)
MAX_BACK_OFF_DOUBLINGS = 10


def reduce(
    state: _state.State, event: events.Event
) -> tuple[_state.State, Effects]:
    """Handle one event; return the state and the effects to carry out."""
    handler = _HANDLERS.get(type(event))
    if handler is None:
        return state, []
    return state, handler(state, event)


def _started(state: _state.State, event: events.Started) -> Effects:
    state.incarnation = event.incarnation
    state.kept_since_ms = event.at_ms
    return _begin_read(state, event.at_ms)


def _stop(state: _state.State, event: events.StopRequested) -> Effects:
    """Exit at once: no request in flight depends on this process."""
    return [effects.Exit(0)]


def _ticked(state: _state.State, event: events.Ticked) -> Effects:
    at_ms = event.at_ms
    state.demand.expire_before(at_ms - state.options.demand_expiry_ms)
    _drop_expired_loads(state, at_ms)
    state.unsettled.forget_expired(at_ms)
    done: Effects = []
    if at_ms - state.read_begun_ms >= _read_pause_ms(state):
        done += _begin_read(state, at_ms)
    done += _time_out_order(state, at_ms)
    done += _admissions.advance(state, at_ms)
    state.origins.drop_expired(at_ms)
    return done + _report.send_if_due(state, at_ms)


def _drop_expired_loads(state: _state.State, at_ms: int) -> None:
    """Drop loads that are too old to be carried out late."""
    if not (state.stray_loads or state.unanswered_loads):
        return
    state.stray_loads = [
        load for load in state.stray_loads if load.until_ms > at_ms
    ]
    state.unanswered_loads = [
        load for load in state.unanswered_loads if load.until_ms > at_ms
    ]


def _read_pause_ms(state: _state.State) -> int:
    options = state.options
    if state.is_reading:
        return options.order_timeout_ms
    adapters = state.adapters
    if adapters is None or adapters.loading or adapters.busy:
        return options.busy_read_ms
    if state.order is not None or not adapters.models:
        return options.busy_read_ms
    if _plan.missing_adapters(state, state.demand.needs):
        return options.busy_read_ms
    return options.idle_read_ms


def _begin_read(state: _state.State, at_ms: int) -> Effects:
    state.is_reading = True
    state.read_begun_ms = at_ms
    state.reads += 1
    return [effects.ReadAdapters(state.reads)]


def _time_out_order(state: _state.State, at_ms: int) -> Effects:
    """Give up an order that got no answer within ``order_timeout_ms``."""
    order = state.order
    if order is None or at_ms - order.sent_ms < state.options.order_timeout_ms:
        return []
    state.order = None
    state.min_planning_read = state.reads + 1
    _remember_unanswered_load(state, order, at_ms)
    return [_order_log('order timed out', order), *_begin_read(state, at_ms)]


def _remember_unanswered_load(
    state: _state.State, order: _state.Order, at_ms: int
) -> None:
    """Remember a load that the endpoint may still carry out.

    It matters only after a restart: until then the endpoint's count of
    accepted orders makes a late order harmless.
    """
    if order.load:
        until_ms = at_ms + state.options.stray_load_ms
        state.unanswered_loads.append(
            _state.StrayLoad(order.expected, until_ms)
        )


def _reserve_for_predecessor(
    state: _state.State, event: events.MessageReceived
) -> Effects:
    """Reserve a slot for a load that an earlier start of ours may have sent.

    A sidecar that restarts together with its endpoint does not know of it.
    An endpoint that had accepted orders before this sidecar's own did not
    restart with it and refuses an order that expects another count, until it
    restarts as well.
    """
    age_ms = event.message.predecessor_ms
    adapters = state.adapters
    if age_ms < 0 or state.knows_predecessor or adapters is None:
        return []
    state.knows_predecessor = True
    valid_ms = state.options.stray_load_ms - age_ms
    if valid_ms <= 0:
        return []
    until_ms = event.at_ms + valid_ms
    fields = (('gateway', event.peer), ('valid_ms', valid_ms))
    if state.earlier_orders:
        stray = _state.StrayLoad(state.earlier_orders, until_ms)
        state.unanswered_loads.append(stray)
        return [effects.Log('earlier load may follow a restart', fields)]
    stray = _state.StrayLoad(_state.ANY_COUNT, until_ms)
    state.stray_loads.append(stray)
    return [effects.Log('slot reserved for an earlier load', fields)]


def _adapters_reported(
    state: _state.State, event: events.AdaptersReported
) -> Effects:
    """Store a report of the endpoint and send the next order."""
    done: Effects = []
    if state.is_unreachable:
        state.is_unreachable = False
        done.append(effects.Log('endpoint answers again'))
    state.is_reading = False
    before = state.adapters
    if before is not None and event.read < before.read:
        return done
    state.adapters = event
    if before is None:
        state.earlier_orders = event.orders
    has_restarted = before is not None and _has_restarted(before, event)
    if has_restarted:
        if state.order is not None:
            _remember_unanswered_load(state, state.order, event.at_ms)
        state.reset_for_restart(event.started_ms)
        done.append(_restart_log(before, event))
    done += _send_next_order(state, event.at_ms)
    done += _report.send_if_due(state, event.at_ms)
    if has_restarted:
        # After the report, from which gateways learn that the adapters of
        # the requests that are granted now are gone.
        done += _admissions.reset(state, event.at_ms)
    return done


def _has_restarted(
    before: events.AdaptersReported, event: events.AdaptersReported
) -> bool:
    """Return whether the endpoint restarted between two reports.

    Without a start time in both reports, only a lower count of accepted
    orders shows a restart: the count begins again with each start.
    """
    if before.started_ms and event.started_ms:
        return before.started_ms != event.started_ms
    return event.orders < before.orders


def _restart_log(
    before: events.AdaptersReported, event: events.AdaptersReported
) -> effects.Log:
    fields = (
        ('started_ms', event.started_ms),
        ('started_before_ms', before.started_ms),
        ('orders', event.orders),
        ('orders_before', before.orders),
    )
    return effects.Log('endpoint restarted', fields, warning=True)


def _unreachable(
    state: _state.State, event: events.EndpointUnreachable
) -> Effects:
    state.is_reading = False
    if state.is_unreachable:
        return []
    state.is_unreachable = True
    fields = (('reason', event.reason),)
    return [effects.Log('endpoint does not answer', fields, warning=True)]


def _send_next_order(state: _state.State, at_ms: int) -> Effects:
    """Send the next order if one is needed and none is in flight.

    Waits for a report that was read after the last order ended.
    """
    if state.order is not None or state.is_unreachable:
        return []
    if state.endpoint is None:
        return []
    if at_ms < state.next_order_ms:
        return []
    if state.adapters is None or state.adapters.read < state.min_planning_read:
        return []
    step = _plan.next_step(state, at_ms)
    if step is None:
        return []
    state.orders += 1
    adapters = state.adapters
    need = state.demand.needs.get(step.name)
    order = _state.Order(
        str(state.orders), step.load, step.name, at_ms, adapters.orders
    )
    state.order = order
    return [
        _order_log(
            'order',
            order,
            ('reason', step.reason),
            ('endpoint', str(state.endpoint)),
            ('held', len(adapters.held)),
            ('loading', len(adapters.loading)),
            ('slots', state.slots),
            ('report_age_ms', at_ms - adapters.at_ms),
            ('in_flight', need.in_flight if need else 0),
            ('queued', need.queued if need else 0),
            ('overdue', need.overdue if need else 0),
        ),
        effects.OrderAdapter(
            order.order_id,
            step.load,
            step.name,
            adapters.orders,
            state.endpoint.name,
        ),
    ]


def _order_ended(state: _state.State, event: events.OrderEnded) -> Effects:
    """Record the verdict and read the endpoint before the next order."""
    order = state.order
    if order is None or order.order_id != event.order_id:
        return []
    state.order = None
    if event.verdict is events.OrderVerdict.ANOTHER_INCARNATION:
        state.mark_endpoint_ended()
    if event.verdict is events.OrderVerdict.LOST:
        _remember_unanswered_load(state, order, event.at_ms)
    _back_off(state, event)
    state.min_planning_read = state.reads + 1
    done = [_order_log('order ended', order, ('verdict', event.verdict.value))]
    return done + _begin_read(state, event.at_ms)


def _back_off(state: _state.State, event: events.OrderEnded) -> None:
    """Delay the next order with exponential back-off after refusals."""
    if event.verdict in SUCCESS_VERDICTS:
        state.refusals = 0
        return
    options = state.options
    pause_ms = options.refusal_back_off_ms * 2 ** min(
        state.refusals, MAX_BACK_OFF_DOUBLINGS
    )
    state.next_order_ms = event.at_ms + min(
        pause_ms, options.max_refusal_back_off_ms
    )
    state.refusals += 1


def _link_opened(state: _state.State, event: events.LinkOpened) -> Effects:
    state.links[event.peer] = event.incarnation
    done = [effects.Log('gateway linked', (('peer', event.peer),))]
    done += _probes.losses_for(state, event.peer, event.at_ms)
    done += _origins.histories_for(state, event.peer, event.at_ms)
    return done + _report.send_to(state, event.peer, event.at_ms)


def _link_closed(state: _state.State, event: events.LinkClosed) -> Effects:
    """Remove the link of a gateway but keep its demand until that expires.

    The gateway may have lost only the link and still have requests in flight.
    """
    state.links.pop(event.peer, None)
    done = [effects.Log('gateway lost', (('peer', event.peer),))]
    return done + _admissions.drop_gateway(state, event.peer, event.at_ms)


def _received(state: _state.State, event: events.MessageReceived) -> Effects:
    handler = _MESSAGES.get(type(event.message))
    return [] if handler is None else handler(state, event)


def _crashed(state: _state.State, event: events.MessageReceived) -> Effects:
    _kept_crashes.keep(state, event)
    _probes.settle(state, event.message)
    return _forward(state, event.peer, event.message)


def _cleared(state: _state.State, event: events.MessageReceived) -> Effects:
    message = event.message
    _kept_crashes.forget(state, event)
    _probes.settle(state, message)
    if _probes.is_repeated(state, message, event.at_ms):
        return []
    return _forward(state, event.peer, message)


def _forget_crashes(
    state: _state.State, event: events.MessageReceived
) -> Effects:
    _kept_crashes.forget(state, event)
    return []


def _run_lost(state: _state.State, event: events.MessageReceived) -> Effects:
    is_new = _probes.run_lost(state, event)
    return _forward(state, event.peer, event.message) if is_new else []


def _endpoint_answered(
    state: _state.State, event: events.MessageReceived
) -> Effects:
    _probes.settle(state, event.message)
    return _forward(state, event.peer, event.message)


def _take_over_crashes(
    state: _state.State, event: events.MessageReceived
) -> Effects:
    new = _kept_crashes.take_over(state, event)
    return _forward(state, event.peer, new) if new else []


def _demanded(state: _state.State, event: events.MessageReceived) -> Effects:
    """Plan for a gateway's demand, and ask for what it has and we lack."""
    message: messages.AdapterDemands = event.message
    state.demand.update(event.peer, message, event.at_ms)
    _admissions.record_gap(state, event)
    _kept_crashes.drop_uncertain(state, event)
    state.learn_endpoint(message.incarnation)
    done = _reserve_for_predecessor(state, event)
    for entry in message.entries:
        if entry.waiting or entry.in_flight:
            state.last_used_ms[entry.adapter.adapter] = event.at_ms
    _prune_last_used(state)
    done += _kept_record.ask_if_missing(state, event)
    done += _log_model_turn(state) + _log_waiting_replacements(state)
    done += _send_next_order(state, event.at_ms)
    return done + _report.send_if_due(state, event.at_ms)


def _update_quota_sums(
    state: _state.State, event: events.MessageReceived
) -> Effects:
    """Add a gateway's quota use to the totals and send it the totals."""
    peer = event.peer
    sums = state.quota_book.record_usage(
        peer, state.links.get(peer, ''), event.message.uses, event.at_ms
    )
    return [effects.Send(peer, messages.QuotaSums(state.incarnation, sums))]


def _lend_requests(
    state: _state.State, event: events.MessageReceived
) -> Effects:
    """Grant a gateway a share of an endpoint's rate limit."""
    wanted = event.message
    lent = state.lender.lend(
        event.peer,
        wanted.endpoint,
        wanted.rate_per_s,
        wanted.wanted,
        event.at_ms,
    )
    answer = messages.RateLent(wanted.endpoint, lent.count, lent.wait_ms)
    return [effects.Send(event.peer, answer)]


def _log_model_turn(state: _state.State) -> Effects:
    """Log when the model starts or stops waiting for its turn."""
    held_back = state.is_model_held_back
    if held_back == state.logged_held_back:
        return []
    state.logged_held_back = held_back
    text = 'model waits for its turn' if held_back else 'model has its turn'
    fields = (
        ('endpoint', str(state.endpoint or '')),
        ('gateways', len(state.demand.by_gateway)),
    )
    return [effects.Log(text, fields)]


def _log_waiting_replacements(state: _state.State) -> Effects:
    """Log once for each version that its load waits for runs."""
    waiting = _plan.waiting_replacements(state)
    logged = state.logged_waiting
    state.logged_waiting = {
        held.adapter: need.adapter.version for held, need in waiting
    }
    return [
        effects.Log(
            'newer version waits for runs',
            (
                ('endpoint', str(state.endpoint or '')),
                ('held', str(held)),
                ('needed', need.adapter.version),
                ('waiting', need.waiting),
                ('in_flight', need.in_flight),
                ('queued', need.queued),
                ('overdue', need.overdue),
            ),
        )
        for held, need in waiting
        if logged.get(held.adapter) != need.adapter.version
    ]


def _forward(
    state: _state.State,
    sender: str,
    message: messages.Crashed
    | messages.Cleared
    | messages.RunLost
    | messages.EndpointAnswered
    | messages.KeptCrashes,
) -> Effects:
    """Forward what a gateway learnt of a request to the other gateways.

    Gateways have no links to each other.
    """
    return [
        effects.Send(peer, message) for peer in state.links if peer != sender
    ]


def _forward_stream_part(
    state: _state.State, event: events.MessageReceived
) -> Effects:
    """Forward what a gateway has read to those that share its reads."""
    return [
        effects.Send(peer, event.message)
        for peer in state.demand.gateways_sharing_reads()
        if peer != event.peer and peer in state.links
    ]


def _prune_last_used(state: _state.State) -> None:
    """Limit ``last_used_ms`` to adapters that are held or needed."""
    if len(state.last_used_ms) <= 4 * max(1, state.slots):
        return
    adapters = state.adapters
    kept = set(state.demand.needs)
    if adapters is not None:
        kept |= {adapter.adapter for adapter in adapters.held}
    state.last_used_ms = {
        k: v for k, v in state.last_used_ms.items() if k in kept
    }


def _order_log(
    text: str, order: _state.Order, *fields: tuple[str, object]
) -> effects.Log:
    common = (
        ('order_id', order.order_id),
        ('action', 'load' if order.load else 'unload'),
        ('what', order.name),
    )
    return effects.Log(text, common + fields)


_HANDLERS = {
    events.Started: _started,
    events.Ticked: _ticked,
    events.StopRequested: _stop,
    events.LinkOpened: _link_opened,
    events.LinkClosed: _link_closed,
    events.MessageReceived: _received,
    events.AdaptersReported: _adapters_reported,
    events.EndpointUnreachable: _unreachable,
    events.OrderEnded: _order_ended,
}

_MESSAGES = {
    messages.AdapterDemands: _demanded,
    messages.Crashed: _crashed,
    messages.Cleared: _cleared,
    messages.ForgetCrashes: _forget_crashes,
    messages.RunLost: _run_lost,
    messages.EndpointAnswered: _endpoint_answered,
    messages.KeptCrashes: _take_over_crashes,
    messages.ProbeWanted: _probes.wanted,
    messages.ProbeEnded: _probes.ended,
    messages.CrashesWanted: _kept_crashes.send,
    messages.StreamPart: _forward_stream_part,
    messages.CompressedStreamPart: _forward_stream_part,
    messages.QuotaUses: _update_quota_sums,
    messages.RateWanted: _lend_requests,
    messages.RecordWanted: _kept_record.send,
    messages.KeptRecord: _kept_record.keep,
    messages.StreamsBegan: _origins.keep,
    messages.OriginWanted: _origins.answer,
    messages.SoftwareHistory: _origins.keep_history,
    messages.AdmissionWanted: _admissions.wanted,
    messages.AdmissionEnded: _admissions.ended,
}
