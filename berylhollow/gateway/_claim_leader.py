"""One gateway appends the claims of a partition for many.

The log takes several hundred appends a second. Few gateways append their
own batches; with many, each partition has a leader, chosen by rendezvous
hashing over the live gateways, that appends what the others forward. Two
leaders at once, or none, are harmless: a verdict is read from the log, which
has one order, and a gateway whose leader does not answer appends by itself.
"""

import hashlib

from berylhollow import claims
from berylhollow import effects
from berylhollow import events
from berylhollow.gateway import _settlement
from berylhollow.gateway import _state
from berylhollow import messages

Effects = list[effects.Effect]


def route(state: _state.State, partition: _state.Partition, at_ms: int) -> str:
    """Return the peer that appends a partition, '' to append here.

    Entries that others forwarded are appended here in any case: passing
    them on again could go round in a circle while views differ.
    """
    if partition.forwarded or at_ms < partition.direct_until_ms:
        return ''
    if any(item.batch is not None for item in partition.queue):
        return ''
    leader = leader_of(state, partition.number)
    return leader if leader in state.peer_links else ''


def leader_of(state: _state.State, number: int) -> str:
    """Return a partition's leader, '' if every gateway appends its own."""
    if len(state.peers) < state.options.claim_direct_gateways:
        return ''
    names = [state.options.instance, *state.peers]
    best = max(names, key=lambda name: _weight(name, number))
    return '' if best == state.options.instance else best


def leaders(state: _state.State) -> list[str]:
    """Return the leaders of the partitions that this gateway uses."""
    found = [leader_of(state, number) for number in state.partitions]
    return [name for name in found if name]


def forward(
    state: _state.State,
    partition: _state.Partition,
    data: bytes,
    at_ms: int,
) -> Effects:
    """Send the batch that is being appended to the leader."""
    partition.taken_by_ms = at_ms + state.options.claim_forward_ms
    message = messages.ClaimsForwarded(
        partition.number, partition.append_id, data
    )
    return [effects.Send(partition.leader, message)]


def forwarded(state: _state.State, event: events.MessageReceived) -> Effects:
    """Queue what another gateway forwarded; the next tick appends it."""
    message: messages.ClaimsForwarded = event.message
    if not 0 <= message.partition < state.options.claim_partitions:
        return [effects.Log('claims of an unknown partition', (), True)]
    try:
        entries = claims.decode(message.batch)
    except claims.RecordError:
        return [effects.Log('forwarded claims not understood', (), True)]
    partition = _settlement.partition_numbered(state, message.partition)
    batch = _state.ForwardedBatch(event.peer, message.batch_id, len(entries))
    for entry in entries:
        partition.queue.append(_state.QueuedEntry(entry, batch))
        if isinstance(entry, claims.Claim):
            partition.forwarded[entry.claim_id] = event.peer
    return []


def taken(partition: _state.Partition) -> Effects:
    """Tell those whose entries are now on the log."""
    done: Effects = []
    for item in partition.appending:
        if item.batch is None:
            continue
        item.batch.left -= 1
        if item.batch.left == 0:
            message = messages.ClaimsTaken(
                partition.number, item.batch.batch_id
            )
            done.append(effects.Send(item.batch.peer, message))
    return done


def confirmed(state: _state.State, event: events.MessageReceived) -> Effects:
    """The leader has appended our batch; its verdicts follow."""
    message: messages.ClaimsTaken = event.message
    partition = state.partitions.get(message.partition)
    if partition is None or partition.append_id != message.batch_id:
        return []
    partition.appending = []
    partition.append_id = ''
    return []


def tick(state: _state.State, partition: _state.Partition, at_ms: int) -> None:
    """Stop waiting for a leader that does not take our batch."""
    waits = partition.leader and partition.append_id
    if waits and at_ms >= partition.taken_by_ms:
        lost(state, partition, at_ms)


def link_closed(state: _state.State, event: events.LinkClosed) -> None:
    """Append by ourselves what a lost leader had, or may not have had."""
    for partition in state.partitions.values():
        if partition.leader == event.peer:
            lost(state, partition, event.at_ms)
        gone = [
            claim_id
            for claim_id, peer in partition.forwarded.items()
            if peer == event.peer
        ]
        for claim_id in gone:
            del partition.forwarded[claim_id]


def lost(state: _state.State, partition: _state.Partition, at_ms: int) -> None:
    """Fall back to the log for a while.

    Undecided claims are appended again under the same claim id: if the
    leader had appended them, the second entry changes nothing and reading
    it gives the same verdict.
    """
    partition.direct_until_ms = at_ms + state.options.claim_fallback_ms
    settled = [
        item
        for item in partition.appending
        if isinstance(item.entry, claims.Settled)
    ]
    partition.appending = []
    partition.append_id = ''
    partition.leader = ''
    queued = {
        item.entry.claim_id
        for item in partition.queue
        if isinstance(item.entry, claims.Claim)
    }
    again = [
        _state.QueuedEntry(_settlement.claim_entry(state.requests[request_id]))
        for claim_id, request_id in partition.undecided.items()
        if claim_id not in queued and request_id in state.requests
    ]
    partition.queue[:0] = [*settled, *again]


def _weight(name: str, number: int) -> bytes:
    text = f'{name}/claims/{number}'
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
