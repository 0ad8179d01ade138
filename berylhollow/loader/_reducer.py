"""One reducer over all events of a loader."""

from berylhollow import effects
from berylhollow import events
from berylhollow.loader import _plan
from berylhollow.loader import _report
from berylhollow.loader import _state
from berylhollow import messages

Effects = list[effects.Effect]

TAKEN = (events.OrderVerdict.ACCEPTED, events.OrderVerdict.HELD_ALREADY)
MAX_DOUBLINGS = 10


def reduce(
    state: _state.State, event: events.Event
) -> tuple[_state.State, Effects]:
    """Take one event in and return the state and what is to be done."""
    handler = _HANDLERS.get(type(event))
    if handler is None:
        return state, []
    return state, handler(state, event)


def _started(state: _state.State, event: events.Started) -> Effects:
    state.incarnation = event.incarnation
    return _read(state, event.at_ms)


def _stop(state: _state.State, event: events.StopRequested) -> Effects:
    """Nothing that a caller waits for depends on this process: end now."""
    return [effects.Exit(0)]


def _ticked(state: _state.State, event: events.Ticked) -> Effects:
    at_ms = event.at_ms
    state.demand.forget_before(at_ms - state.options.demand_ms)
    _forget_strays(state, at_ms)
    done: Effects = []
    if at_ms - state.read_ms >= _read_pause_ms(state):
        done += _read(state, at_ms)
    done += _lost_order(state, at_ms)
    return done + _report.tell(state, at_ms)


def _forget_strays(state: _state.State, at_ms: int) -> None:
    """Drop what can not be carried out any more."""
    if not (state.strays or state.unanswered):
        return
    state.strays = [x for x in state.strays if x.until_ms > at_ms]
    state.unanswered = [x for x in state.unanswered if x.until_ms > at_ms]


def _read_pause_ms(state: _state.State) -> int:
    options = state.options
    if state.reading:
        return options.order_ms
    adapters = state.adapters
    if adapters is None or adapters.loading or adapters.busy:
        return options.busy_read_ms
    if state.order is not None or not adapters.models:
        return options.busy_read_ms
    if _plan.wanted(state, state.demand.needs):
        return options.busy_read_ms
    return options.idle_read_ms


def _read(state: _state.State, at_ms: int) -> Effects:
    state.reading = True
    state.read_ms = at_ms
    state.reads += 1
    return [effects.ReadAdapters(state.reads)]


def _lost_order(state: _state.State, at_ms: int) -> Effects:
    """Give up an order whose end was never told."""
    order = state.order
    if order is None or at_ms - order.sent_ms < state.options.order_ms:
        return []
    state.order = None
    state.fresh_read = state.reads + 1
    _note_unanswered(state, order, at_ms)
    return [_log('order lost', order), *_read(state, at_ms)]


def _note_unanswered(
    state: _state.State, order: _state.Order, at_ms: int
) -> None:
    """Remember a load that may be carried out later.

    While the endpoint lives its count of orders makes a late one harmless.
    """
    if order.load:
        until_ms = at_ms + state.options.stray_ms
        state.unanswered.append(_state.Stray(order.expected, until_ms))


def _reported(state: _state.State, event: events.AdaptersReported) -> Effects:
    """Plan on what the endpoint holds now."""
    done: Effects = []
    if state.unreachable:
        state.unreachable = False
        done.append(effects.Log('endpoint answers again'))
    state.reading = False
    before = state.adapters
    if before is not None and event.read < before.read:
        return done
    state.adapters = event
    if before is not None and _restarted(before, event):
        if state.order is not None:
            _note_unanswered(state, state.order, event.at_ms)
        state.restart_endpoint(event.started_ms)
        done.append(_told_restart(before, event))
    done += _order(state, event.at_ms)
    return done + _report.tell(state, event.at_ms)


def _restarted(
    before: events.AdaptersReported, event: events.AdaptersReported
) -> bool:
    """Tell whether the endpoint has started anew between two reports.

    Its count of orders begins again too, and is all there is to tell by
    where it does not say when it started.
    """
    if before.started_ms and event.started_ms:
        return before.started_ms != event.started_ms
    return event.orders < before.orders


def _told_restart(
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
    state.reading = False
    if state.unreachable:
        return []
    state.unreachable = True
    fields = (('reason', event.reason),)
    return [effects.Log('endpoint does not answer', fields, warning=True)]


def _order(state: _state.State, at_ms: int) -> Effects:
    """Give the next order, unless one is under way or a read is."""
    if state.order is not None or state.unreachable:
        return []
    if state.endpoint is None:
        return []
    if at_ms < state.order_at_ms:
        return []
    if state.adapters is None or state.adapters.read < state.fresh_read:
        return []
    step = _plan.next_step(state, at_ms)
    if step is None:
        return []
    state.orders += 1
    adapters = state.adapters
    order = _state.Order(
        str(state.orders), step.load, step.name, at_ms, adapters.orders
    )
    state.order = order
    return [
        _log(
            'order',
            order,
            ('reason', step.reason),
            ('endpoint', str(state.endpoint)),
            ('held', len(adapters.held)),
            ('loading', len(adapters.loading)),
            ('slots', state.slots),
            ('report_age_ms', at_ms - adapters.at_ms),
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
    """Read what the endpoint holds now before anything else is ordered."""
    order = state.order
    if order is None or order.order_id != event.order_id:
        return []
    state.order = None
    if event.verdict is events.OrderVerdict.ANOTHER_INCARNATION:
        state.end_endpoint()
    if event.verdict is events.OrderVerdict.LOST:
        _note_unanswered(state, order, event.at_ms)
    _pace(state, event)
    state.fresh_read = state.reads + 1
    done = [_log('order ended', order, ('verdict', event.verdict.value))]
    return done + _read(state, event.at_ms)


def _pace(state: _state.State, event: events.OrderEnded) -> None:
    """Let the next order wait the longer the more were refused in a row."""
    if event.verdict in TAKEN:
        state.refusals = 0
        return
    options = state.options
    pause_ms = options.refused_ms * 2 ** min(state.refusals, MAX_DOUBLINGS)
    state.order_at_ms = event.at_ms + min(pause_ms, options.refused_most_ms)
    state.refusals += 1


def _link_opened(state: _state.State, event: events.LinkOpened) -> Effects:
    state.links[event.peer] = event.incarnation
    done = [effects.Log('gateway linked', (('peer', event.peer),))]
    return done + _report.tell_one(state, event.peer, event.at_ms)


def _link_closed(state: _state.State, event: events.LinkClosed) -> Effects:
    """Forget a gateway; its demand lapses by itself.

    It may only have lost the link, with requests still on their way.
    """
    state.links.pop(event.peer, None)
    return [effects.Log('gateway lost', (('peer', event.peer),))]


def _received(state: _state.State, event: events.MessageReceived) -> Effects:
    message = event.message
    if isinstance(message, messages.Crashed):
        return _pass_on(state, event.peer, message)
    if isinstance(message, messages.StreamPart):
        return _pass_on_part(state, event.peer, message)
    if isinstance(message, messages.QuotaUses):
        return _keep_book(state, event)
    if isinstance(message, messages.RateWanted):
        return _lend(state, event)
    if not isinstance(message, messages.AdapterDemands):
        return []
    state.demand.tell(event.peer, message, event.at_ms)
    state.learn_endpoint(message.incarnation)
    for entry in message.entries:
        if entry.waiting or entry.in_flight:
            state.used_ms[entry.adapter.adapter] = event.at_ms
    _forget_unused(state)
    done = _say_turn(state) + _order(state, event.at_ms)
    return done + _report.tell(state, event.at_ms)


def _keep_book(state: _state.State, event: events.MessageReceived) -> Effects:
    """Add up what gateways have used of quotas and tell them the sums."""
    peer = event.peer
    sums = state.book.tell(
        peer, state.links.get(peer, ''), event.message.uses, event.at_ms
    )
    return [effects.Send(peer, messages.QuotaSums(state.incarnation, sums))]


def _lend(state: _state.State, event: events.MessageReceived) -> Effects:
    """Lend a gateway requests to an endpoint that has named a limit."""
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


def _say_turn(state: _state.State) -> Effects:
    """Say when the model begins or ends to wait for its turn."""
    held_back = state.model_held_back
    if held_back == state.held_back:
        return []
    state.held_back = held_back
    text = 'model waits for its turn' if held_back else 'model has its turn'
    fields = (
        ('endpoint', str(state.endpoint or '')),
        ('gateways', len(state.demand.told)),
    )
    return [effects.Log(text, fields)]


def _pass_on(
    state: _state.State, sender: str, crash: messages.Crashed
) -> Effects:
    """Tell the other gateways of a crash; they have no links of their own."""
    return [
        effects.Send(peer, crash) for peer in state.links if peer != sender
    ]


def _pass_on_part(
    state: _state.State, sender: str, part: messages.StreamPart
) -> Effects:
    """Tell the gateways that listen here what another has read."""
    return [
        effects.Send(peer, part)
        for peer in state.demand.listeners()
        if peer != sender and peer in state.links
    ]


def _forget_unused(state: _state.State) -> None:
    """Keep when adapters were used only of those that are held or needed."""
    if len(state.used_ms) <= 4 * max(1, state.slots):
        return
    adapters = state.adapters
    kept = set(state.demand.needs)
    if adapters is not None:
        kept |= {adapter.adapter for adapter in adapters.held}
    state.used_ms = {k: v for k, v in state.used_ms.items() if k in kept}


def _log(
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
    events.AdaptersReported: _reported,
    events.EndpointUnreachable: _unreachable,
    events.OrderEnded: _order_ended,
}
