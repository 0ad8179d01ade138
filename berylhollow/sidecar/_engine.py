"""What the endpoint says of itself, and its restarts."""

from berylhollow import effects
from berylhollow import events
from berylhollow.sidecar import _isolation
from berylhollow.sidecar import _loads
from berylhollow.sidecar import _orders
from berylhollow.sidecar import _runs
from berylhollow.sidecar import _state
from berylhollow.sidecar import _takeover

Effects = list[effects.Effect]


def tick(state: _state.State, at_ms: int) -> Effects:
    """Ask for the endpoint's status when it is due."""
    if at_ms - state.status_read_ms < state.options.status_poll_ms:
        return []
    state.status_read_ms = at_ms
    return [effects.ReadStatus()]


def status(state: _state.State, event: events.EngineStatus) -> Effects:
    """Take the engine's word for its epoch and its limits.

    Guards against a report that lags behind a restart: an epoch that was
    left never comes back. Otherwise slots would be trusted that a new
    engine does not have.
    """
    if event.epoch in state.retired_epochs:
        return []
    state.reachable = True
    state.batch_limit = event.batch_limit
    done = _takeover.status(state, event)
    if event.epoch != state.epoch:
        done += _new_epoch(state, event)
    else:
        _isolation.survived(state)
    _orders.status(state, event)
    done += _runs.dispatch(state, event.at_ms)
    return done + _loads.order(state, event.at_ms)


def unreachable(
    state: _state.State, event: events.EndpointUnreachable
) -> Effects:
    """Take no new work until the endpoint answers again."""
    state.reachable = False
    return []


def _new_epoch(state: _state.State, event: events.EngineStatus) -> Effects:
    """Empty the slot table: a restarted engine holds no adapter of ours."""
    done = _runs.all_lost(state, event.at_ms)
    if state.epoch:
        state.retired_epochs.add(state.epoch)
        fields = (('epoch', event.epoch),)
        done.append(effects.Log('engine restarted', fields, warning=True))
    state.epoch = event.epoch
    state.slots = [_state.Slot(slot.slot) for slot in event.slots]
    return done
