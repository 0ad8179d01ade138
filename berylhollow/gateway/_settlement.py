"""How claimed requests ended, on its way to the log."""

from berylhollow import claims
from berylhollow import errors
from berylhollow.gateway import _state


def settle(
    state: _state.State,
    active: _state.ActiveRequest,
    ran: errors.Ran,
    answer: claims.StoredAnswer | None = None,
) -> None:
    """Queue how a claimed request ended; the next tick appends it."""
    if not active.claim_id:
        return
    partition = partition_of(state, active.key)
    partition.undecided.pop(active.claim_id, None)
    if active.claim_lost:
        return
    entry = claims.Settled(
        active.key, active.claim_id, claims.Outcome(ran.value), answer
    )
    partition.queue.append(_state.QueuedEntry(entry))


def unsettled(state: _state.State) -> bool:
    """Tell whether the log still lacks how some claim ended."""
    return any(
        partition.queue or partition.appending
        for partition in state.partitions.values()
    )


def partition_of(state: _state.State, key: bytes) -> _state.Partition:
    """Return the partition of a key; its ledger is empty at first."""
    number = claims.partition_of(key, state.options.claim_partitions)
    return partition_numbered(state, number)


def partition_numbered(state: _state.State, number: int) -> _state.Partition:
    """Return a partition by its number."""
    partition = state.partitions.get(number)
    if partition is None:
        ledger = claims.Ledger(state.options.claim_window_ms)
        stream = claims.stream_of(number)
        partition = _state.Partition(number, stream, ledger)
        state.partitions[number] = partition
    return partition


def partition_with(
    state: _state.State, stream: str
) -> _state.Partition | None:
    """Return the partition that is kept in a stream, if it is in use."""
    for partition in state.partitions.values():
        if partition.stream == stream:
            return partition
    return None


def claim_entry(active: _state.ActiveRequest) -> claims.Claim:
    """Return the log entry that claims a request's key."""
    return claims.Claim(
        active.key,
        active.claim_id,
        active.request.fingerprint.encode(),
        active.request.deadline_ms,
    )
