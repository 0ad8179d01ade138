"""Outcomes of claimed requests, queued for the log, and its partitions."""

from berylhollow import claims
from berylhollow import errors
from berylhollow.gateway import _state


def settle(
    state: _state.State,
    active: _state.ActiveRequest,
    ran: errors.Ran,
    answer: claims.StoredAnswer | None = None,
) -> None:
    """Queue a claimed request's outcome for the append of the next tick."""
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


def has_unappended_entries(state: _state.State) -> bool:
    """Tell whether any entry is not known yet to be appended to the log."""
    return any(
        partition.queue or partition.appending
        for partition in state.partitions.values()
    )


def partition_of(state: _state.State, key: bytes) -> _state.Partition:
    """Return the partition of a key; a new one has an empty ledger."""
    number = claims.partition_of(key, state.options.claim_partitions)
    return partition_by_number(state, number)


def partition_by_number(state: _state.State, number: int) -> _state.Partition:
    """Return the partition with a number, created at its first use."""
    partition = state.partitions.get(number)
    if partition is None:
        ledger = claims.Ledger(state.options.claim_window_ms)
        stream = claims.stream_of(number)
        partition = _state.Partition(number, stream, ledger)
        state.partitions[number] = partition
    return partition


def partition_by_stream(
    state: _state.State, stream: str
) -> _state.Partition | None:
    """Return the partition whose entries are in a stream, if in use."""
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
