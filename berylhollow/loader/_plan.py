"""Choose the adapter to load next and the one to evict for it."""

import dataclasses

from berylhollow.loader import _demand
from berylhollow.loader import _state
from berylhollow import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A planned order: load or unload one adapter or model."""

    load: bool
    name: str
    reason: str


def next_step(state: _state.State, at_ms: int) -> Step | None:
    """Return the next order to send, None if there is nothing to do.

    Orders are planned one at a time, each on a report that shows the result
    of the previous one, so that the endpoint is never asked to hold more than
    it can.
    """
    adapters = state.adapters
    if adapters is None or adapters.busy:
        return None
    if not adapters.models:
        return _model_load_step(state)
    if not state.slots:
        return None
    if len(adapters.loading) >= state.options.max_concurrent_loads:
        return None
    needs = state.demand.needs
    missing = missing_adapters(state, needs)
    if not missing:
        return None
    used_slots = len({a.adapter for a in (*adapters.held, *adapters.loading)})
    has_free_slot = used_slots < state.slots
    candidate = (
        None if has_free_slot else eviction_candidate(state, needs, at_ms)
    )
    for need in missing:
        step = _step_for_adapter(state, need, has_free_slot, candidate)
        if step is not None:
            return step
    return None


def _model_load_step(state: _state.State) -> Step | None:
    """Return the load of the model for an endpoint that started empty.

    An endpoint has room for one model, so the first of the service's models is
    loaded. A load from the weight store waits for its turn; a model of which
    the endpoint has a local copy is loaded at once.
    """
    if state.is_model_held_back:
        return None
    models = state.demand.models
    return Step(True, models[0], 'endpoint is empty') if models else None


def missing_adapters(
    state: _state.State, needs: dict[str, _demand.AdapterNeed]
) -> list[_demand.AdapterNeed]:
    """Return adapters that requests wait for, highest demand first.

    Adapters that are loaded or loading in the needed version are left out.
    Those come first that are held in a version with which requests are queued
    that must not begin.
    """
    held = _by_name(state.adapters.held)
    loading = _by_name(state.adapters.loading)
    missing = [
        need
        for name, need in needs.items()
        if (need.waiting or (need.overdue and name in held))
        and not _has_needed_version(held.get(name), need)
        and not _has_needed_version(loading.get(name), need)
    ]
    return sorted(
        missing,
        key=lambda need: (
            not need.overdue,
            -_load_value(state, need),
            need.adapter.adapter,
        ),
    )


def waiting_replacements(
    state: _state.State,
) -> list[tuple[messages.AdapterVersion, _demand.AdapterNeed]]:
    """Return held adapters in use of which a newer version is needed."""
    if state.adapters is None:
        return []
    found = []
    for held in state.adapters.held:
        need = state.demand.needs.get(held.adapter)
        if need is None or not need.in_flight:
            continue
        if not _has_needed_version(held, need):
            found.append((held, need))
    return found


def eviction_candidate(
    state: _state.State, needs: dict[str, _demand.AdapterNeed], at_ms: int
) -> tuple[str, float] | None:
    """Return the idle adapter with the lowest request rate, and that rate.

    None if all adapters are in use: an unload waits until the runs have
    ended and blocks its slot until then.
    """
    loading = _by_name(state.adapters.loading)
    idle = [
        name
        for name in _by_name(state.adapters.held)
        if name not in loading
        and _is_idle(state, needs.get(name), name, at_ms)
    ]
    if not idle:
        return None
    no_need = _demand.AdapterNeed(messages.AdapterVersion('', '0'))

    def eviction_order(name: str) -> tuple[float, int, str]:
        need = needs.get(name, no_need)
        return need.rate, state.last_used_ms.get(name, 0), name

    least = min(idle, key=eviction_order)
    return least, needs.get(least, no_need).rate


def _step_for_adapter(
    state: _state.State,
    need: _demand.AdapterNeed,
    has_free_slot: bool,
    candidate: tuple[str, float] | None,
) -> Step | None:
    """Return the order that serves one need, None if none is possible.

    ``candidate`` is the adapter that may be evicted, with its request rate.
    """
    name = need.adapter.adapter
    if name in _by_name(state.adapters.held):
        return (
            Step(True, name, 'newer version') if _may_replace(need) else None
        )
    if has_free_slot:
        return Step(True, name, 'requests are waiting')
    if candidate is None:
        return None
    least, rate = candidate
    if (
        _expected_requests(state, need)
        <= rate * state.options.reload_horizon_s
    ):
        return None
    return Step(False, least, f'evicted for {name}')


def _may_replace(need: _demand.AdapterNeed) -> bool:
    """Return whether a replacement would not wait for runs.

    While it waits, the endpoint accepts no other order and refuses requests
    for the adapter. Requests that have not begun are returned at once.
    """
    if not need.in_flight:
        return True
    return need.overdue > 0 and need.queued == need.in_flight


def _expected_requests(
    state: _state.State, need: _demand.AdapterNeed
) -> float:
    """Return the number of requests that a load is expected to serve."""
    return need.waiting + need.rate * state.options.demand_horizon_s


def _load_value(state: _state.State, need: _demand.AdapterNeed) -> float:
    """Return the value of a load, in requests.

    Urgent requests count more, so that a cold adapter that an urgent request
    waits for goes before one that as many less urgent ones wait for.
    """
    extra = max(0, need.urgency - need.waiting)
    return _expected_requests(state, need) + extra


def _is_idle(
    state: _state.State,
    need: _demand.AdapterNeed | None,
    name: str,
    at_ms: int,
) -> bool:
    if need is not None and (need.waiting or need.in_flight):
        return False
    used_ms = state.last_used_ms.get(name)
    return used_ms is None or at_ms - used_ms >= state.options.idle_ms


def _by_name(
    adapters: tuple[messages.AdapterVersion, ...],
) -> dict[str, messages.AdapterVersion]:
    return {adapter.adapter: adapter for adapter in adapters}


def _has_needed_version(
    held: messages.AdapterVersion | None, need: _demand.AdapterNeed
) -> bool:
    return held is not None and held.number >= need.adapter.number
