"""Choice of the endpoint for an attempt."""

import hashlib

from berylhollow.gateway import _state
from berylhollow import messages


def choose(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> str | None:
    """Return the endpoint to offer a request to, None if there is none.

    An endpoint that holds the adapter goes before one that would load it;
    among holders the least loaded, among others the rendezvous order, so
    that all gateways load an adapter at the same place.
    """
    usable = [
        name
        for name, endpoint in state.endpoints.items()
        if endpoint.usable_at(at_ms)
        and endpoint.instance.service == active.service
        and name not in active.tried
    ]
    if not usable:
        return None
    adapter = active.request.adapter
    return min(usable, key=lambda name: _rank(state, name, adapter))


def _rank(
    state: _state.State, name: str, adapter: messages.AdapterVersion | None
) -> tuple[bool, float, str]:
    endpoint = state.endpoints[name]
    report = endpoint.report
    capacity = max(1, report.capacity if report else 1)
    load = len(endpoint.placed) / capacity
    if adapter is None:
        return False, load, name
    holds = report is not None and any(
        slot.adapter == adapter for slot in report.slots
    )
    if holds:
        return False, load, name
    return True, _rendezvous(name, adapter) + max(0.0, load - 1), name


def _rendezvous(name: str, adapter: messages.AdapterVersion) -> float:
    digest = hashlib.blake2b(f'{name}/{adapter}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest()) / 2**64
