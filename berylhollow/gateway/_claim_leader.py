"""One gateway appends the claims of a partition for many.

The log accepts several hundred appends a second. While there are few
gateways, each appends its own batches. With many, each partition has a
leader, chosen by rendezvous hashing over the listed gateways, which appends
the batches that the others forward. Two leaders at once, or none, are
harmless: verdicts are read from the log, which has one order, and a gateway
whose leader does not answer appends by itself.
"""

import hashlib

from berylhollow import claims
from berylhollow import effects
from berylhollow import events
from berylhollow.gateway import _settlement
from berylhollow.gateway import _state
from berylhollow import messages

Effects = list[effects.Effect]


def forwarding_target(
    state: _state.State, partition: _state.Partition, at_ms: int
) -> str:
    """Return the leader to forward the next batch to, '' to append here.

    A queue with forwarded entries is always appended here: while gateways
    disagree about the leader, forwarding again could loop.
    """
    if partition.forwarded or at_ms < partition.direct_until_ms:
        return ''
    if any(item.batch is not None for item in partition.queue):
        return ''
    leader = leader_of(state, partition.number)
    return leader if leader in state.peer_links else ''


def leader_of(state: _state.State, number: int) -> str:
    """Return a partition's leader, '' if this gateway appends by itself."""
    if len(state.peers) < state.options.claim_direct_gateways:
        return ''
    names = [state.options.instance, *state.peers]
    best = max(names, key=lambda name: _rendezvous_weight(name, number))
    return '' if best == state.options.instance else best


def peer_leaders(state: _state.State) -> list[str]:
    """Return the other gateways that lead partitions used here."""
    names = [leader_of(state, number) for number in state.partitions]
    return [name for name in names if name]


def forward(
    state: _state.State,
    partition: _state.Partition,
    data: bytes,
    at_ms: int,
) -> Effects:
    """Send the batch to the leader; set the deadline of its confirmation."""
    partition.forward_deadline_ms = at_ms + state.options.claim_forward_ms
    message = messages.ClaimsForwarded(
        partition.number, partition.append_id, data
    )
    return [effects.Send(partition.leader, message)]


def queue_forwarded_claims(
    state: _state.State, event: events.MessageReceived
) -> Effects:
    """Queue the entries of a forwarded batch; the next tick appends them."""
    message: messages.ClaimsForwarded = event.message
    if not 0 <= message.partition < state.options.claim_partitions:
        return [
            effects.Log('forwarded claims name an unknown partition', (), True)
        ]
    try:
        entries = claims.decode(message.batch)
    except claims.RecordError:
        return [effects.Log('forwarded claims can not be decoded', (), True)]
    partition = _settlement.partition_by_number(state, message.partition)
    batch = _state.ForwardedBatch(event.peer, message.batch_id, len(entries))
    for entry in entries:
        partition.queue.append(_state.QueuedEntry(entry, batch))
        if isinstance(entry, claims.Claim):
            partition.forwarded[entry.claim_id] = event.peer
    return []


def confirm_batches(partition: _state.Partition) -> Effects:
    """Confirm each forwarded batch whose entries are all on the log."""
    result: Effects = []
    for item in partition.appending:
        if item.batch is None:
            continue
        item.batch.left -= 1
        if item.batch.left == 0:
            message = messages.ClaimsTaken(
                partition.number, item.batch.batch_id
            )
            result.append(effects.Send(item.batch.peer, message))
    return result


def handle_confirmation(
    state: _state.State, event: events.MessageReceived
) -> Effects:
    """Handle the leader's confirmation of a batch; its verdicts follow."""
    message: messages.ClaimsTaken = event.message
    partition = state.partitions.get(message.partition)
    if partition is None or partition.append_id != message.batch_id:
        return []
    partition.appending = []
    partition.append_id = ''
    return []


def tick(state: _state.State, partition: _state.Partition, at_ms: int) -> None:
    """Fall back to the log if the leader did not confirm a batch in time."""
    awaits_leader = partition.leader and partition.append_id
    if awaits_leader and at_ms >= partition.forward_deadline_ms:
        fall_back(state, partition, at_ms)


def link_closed(state: _state.State, event: events.LinkClosed) -> None:
    """Append here what a lost leader has not confirmed.

    Claims that the lost peer forwarded need no verdict any more.
    """
    for partition in state.partitions.values():
        if partition.leader == event.peer:
            fall_back(state, partition, event.at_ms)
        orphaned = [
            claim_id
            for claim_id, peer in partition.forwarded.items()
            if peer == event.peer
        ]
        for claim_id in orphaned:
            del partition.forwarded[claim_id]


def fall_back(
    state: _state.State, partition: _state.Partition, at_ms: int
) -> None:
    """Queue all that the leader may not have appended, to append it here.

    For ``claim_fallback_ms`` this gateway appends by itself. Undecided
    claims keep their claim id: if the leader had appended them, the second
    entry changes nothing and has the same verdict.
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
    reclaimed = [
        _state.QueuedEntry(_settlement.claim_entry(state.requests[request_id]))
        for claim_id, request_id in partition.undecided.items()
        if claim_id not in queued and request_id in state.requests
    ]
    partition.queue[:0] = [*settled, *reclaimed]


def _rendezvous_weight(name: str, number: int) -> bytes:
    """Return the rendezvous weight of a gateway for a partition."""
    text = f'{name}/claims/{number}'
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
