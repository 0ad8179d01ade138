"""Handles the status of the endpoint and detects its restarts."""

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
    """Read the endpoint's status if it is due."""
    if at_ms - state.last_status_read_ms < state.options.status_poll_ms:
        return []
    state.last_status_read_ms = at_ms
    return [effects.ReadStatus()]


def status(state: _state.State, event: events.EngineStatus) -> Effects:
    """Update the epoch and the limits from the engine's status.

    Drops a status of an earlier epoch: it lags behind a restart, as an epoch
    that has ended never comes back. Otherwise adapters would be taken for
    loaded that the restarted engine does not hold.
    """
    if event.epoch in state.retired_epochs:
        return []
    state.reachable = True
    state.batch_limit = event.batch_limit
    done = _takeover.status(state, event)
    if event.epoch != state.epoch:
        done += _new_epoch(state, event)
    else:
        _isolation.clear_reported_crash(state)
    _orders.status(state, event)
    done += _runs.dispatch(state, event.at_ms)
    return done + _loads.order(state, event.at_ms)


def unreachable(
    state: _state.State, event: events.EndpointUnreachable
) -> Effects:
    """Begin no runs until the endpoint answers again."""
    state.reachable = False
    return []


def _new_epoch(state: _state.State, event: events.EngineStatus) -> Effects:
    """Reset the slots: a restarted engine holds none of the old adapters."""
    done = _runs.fail_lost_runs(state, event.at_ms)
    if state.epoch:
        state.retired_epochs.add(state.epoch)
        fields = (('epoch', event.epoch),)
        done.append(effects.Log('engine restarted', fields, warning=True))
    state.epoch = event.epoch
    state.slots = [_state.Slot(slot.slot) for slot in event.slots]
    return done
