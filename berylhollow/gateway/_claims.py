"""Claims the idempotency key of a request before the request is offered.

A claim is decided only by the log records up to and including the claim
itself. A confirmed append does not show which of two claims came first.
"""

import functools

from berylhollow import claims
from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow.gateway import _attempts
from berylhollow.gateway import _claim_leader
from berylhollow.gateway import _claim_verdict
from berylhollow.gateway import _containment
from berylhollow.gateway import _settlement
from berylhollow.gateway import _state
from berylhollow import messages

Effects = list[effects.Effect]


def claim(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> Effects:
    """Queue a claim of the key; hold the request until it is decided."""
    request = active.request
    active.phase = _state.Phase.CLAIMING
    active.key = claims.digest_key(
        request.caller, request.service, request.key
    )
    active.claim_id = f'{state.incarnation}/{request.request_id}'
    active.claim_by_ms = at_ms + state.options.claim_ms
    partition = _settlement.partition_of(state, active.key)
    partition.undecided[active.claim_id] = request.request_id
    partition.queue.append(_state.QueuedEntry(_settlement.claim_entry(active)))
    return _append_batch(state, partition, at_ms)


def tick(state: _state.State, at_ms: int) -> Effects:
    """Refuse overdue claims, append queued entries and read the log."""
    result: Effects = []
    for partition in state.partitions.values():
        result += _refuse_overdue(state, partition, at_ms)
        _claim_leader.tick(state, partition, at_ms)
        result += _append_batch(state, partition, at_ms)
        result += _read_log(state, partition, at_ms)
    return result


def appended(state: _state.State, event: events.Appended) -> Effects:
    """Handle a confirmed append: read the log to decide its claims."""
    partition = _settlement.partition_by_stream(state, event.stream)
    if partition is None or partition.append_id != event.append_id:
        return []
    result = _claim_leader.confirm_batches(partition)
    partition.appending = []
    partition.append_id = ''
    result += _append_batch(state, partition, event.at_ms)
    return result + _read_log(state, partition, event.at_ms)


def append_failed(state: _state.State, event: events.AppendFailed) -> Effects:
    """Refuse claims known not to be appended; read the log for the others.

    ``Settled`` entries are queued again in either case: the ledger applies
    duplicates only once.
    """
    partition = _settlement.partition_by_stream(state, event.stream)
    if partition is None or partition.append_id != event.append_id:
        return []
    batch = partition.appending
    partition.appending = []
    partition.append_id = ''
    partition.append_from_ms = event.at_ms + state.options.claim_retry_ms
    partition.queue[:0] = [
        item for item in batch if isinstance(item.entry, claims.Settled)
    ]
    if event.certainty is events.Certainty.UNKNOWN:
        return _read_log(state, partition, event.at_ms)
    result: Effects = []
    for item in batch:
        if isinstance(item.entry, claims.Claim):
            result += _refuse_unappended(state, partition, item)
    return result


def log_read(state: _state.State, event: events.LogRead) -> Effects:
    """Apply the records read to the ledger and decide the claims in them."""
    partition = _settlement.partition_by_stream(state, event.stream)
    if partition is None:
        return []
    partition.reading = False
    partition.read_from_ms = event.at_ms + state.options.claim_poll_ms
    ledger = partition.ledger
    if event.first_offset > ledger.next_offset:
        ledger = _reset_ledger(state, partition, event.first_offset)
    result: Effects = []
    for record in event.entries:
        for entry in ledger.apply(record):
            if isinstance(entry, claims.Claim):
                arguments = (entry, record.at_ms, event.at_ms)
                result += _decide_claim(state, partition, *arguments)
    if event.entries:
        result += _read_log(state, partition, event.at_ms)
    return result


def log_read_failed(
    state: _state.State, event: events.LogReadFailed
) -> Effects:
    """Retry later, from the oldest record if the next offset was trimmed."""
    partition = _settlement.partition_by_stream(state, event.stream)
    if partition is None:
        return []
    partition.reading = False
    partition.read_from_ms = event.at_ms + state.options.claim_retry_ms
    if event.first_offset is not None:
        _reset_ledger(state, partition, event.first_offset)
    return []


def _reset_ledger(
    state: _state.State, partition: _state.Partition, first_offset: int
) -> claims.Ledger:
    """Start an empty ledger at the oldest record that the log still has.

    No claim in force is lost: the log's retention is longer than the window
    for which a claim holds its key.
    """
    partition.ledger = claims.Ledger(
        state.options.claim_window_ms, next_offset=first_offset
    )
    return partition.ledger


def _append_batch(
    state: _state.State, partition: _state.Partition, at_ms: int
) -> Effects:
    """Append the next batch, or forward it to the partition's leader.

    One batch is in flight at a time: the log accepts few appends a second.
    """
    if partition.append_id or not partition.queue:
        return []
    if at_ms < partition.append_from_ms:
        return []
    leader = _claim_leader.forwarding_target(state, partition, at_ms)
    size = state.options.claim_batch
    data = claims.encode([item.entry for item in partition.queue[:size]])
    partition.appending = partition.queue[:size]
    del partition.queue[:size]
    state.appends += 1
    partition.append_id = f'{state.incarnation}/{state.appends}'
    partition.append_from_ms = at_ms + state.options.claim_flush_ms
    partition.leader = leader
    if leader:
        return _claim_leader.forward(state, partition, data, at_ms)
    return [effects.Append(partition.stream, partition.append_id, data)]


def _read_log(
    state: _state.State, partition: _state.Partition, at_ms: int
) -> Effects:
    """Read on in the log if a claim is undecided and no read is in flight."""
    if partition.reading or partition.leader:
        return []
    if not partition.undecided and not partition.forwarded:
        return []
    if partition.append_id or at_ms < partition.read_from_ms:
        return []
    partition.reading = True
    return [effects.ReadLog(partition.stream, partition.ledger.next_offset)]


def _decide_claim(
    state: _state.State,
    partition: _state.Partition,
    entry: claims.Claim,
    log_ms: int,
    at_ms: int,
) -> Effects:
    """Settle a claim made here; send the verdict on a forwarded one."""
    holding = partition.ledger.holdings.get(entry.key)
    peer = partition.forwarded.pop(entry.claim_id, None)
    if peer is not None:
        verdict = _claim_verdict.judge(entry, holding, log_ms)
        return [
            effects.Send(
                peer,
                _claim_verdict.to_message(
                    partition.number, entry.claim_id, verdict
                ),
            )
        ]
    if entry.claim_id not in partition.undecided:
        return []
    verdict = _claim_verdict.judge(entry, holding, log_ms)
    return _settle_claim(state, partition, entry.claim_id, verdict, at_ms)


def apply_verdict(
    state: _state.State, event: events.MessageReceived
) -> Effects:
    """Handle the leader's verdict on a claim that this gateway forwarded."""
    message: messages.ClaimDecided = event.message
    partition = state.partitions.get(message.partition)
    if partition is None:
        return []
    verdict = _claim_verdict.from_message(message)
    return _settle_claim(
        state, partition, message.claim_id, verdict, event.at_ms
    )


def _settle_claim(
    state: _state.State,
    partition: _state.Partition,
    claim_id: str,
    verdict: _claim_verdict.Verdict,
    at_ms: int,
) -> Effects:
    """Place a request whose claim holds its key; refuse any other.

    A duplicate verdict, or one after the request was given up, has no
    effect, since the claim is no longer in ``undecided``.
    """
    request_id = partition.undecided.pop(claim_id, None)
    active = state.requests.get(request_id)
    if active is None:
        return []
    handle = functools.partial(_apply_verdict, verdict)
    return _containment.handle_request(handle, state, active, at_ms)


def _apply_verdict(
    verdict: _claim_verdict.Verdict,
    state: _state.State,
    active: _state.ActiveRequest,
    at_ms: int,
) -> Effects:
    if verdict.holds:
        active.phase = _state.Phase.WAITING
        return _attempts.place(state, active, at_ms)
    active.claim_lost = True
    return _refuse(state, active, verdict)


def _refuse(
    state: _state.State,
    active: _state.ActiveRequest,
    verdict: _claim_verdict.Verdict,
) -> Effects:
    """Send the stored answer of an earlier request, or the verdict's error."""
    if verdict.answer is not None:
        stored = verdict.answer
        answer = effects.AnswerStored(
            active.request.request_id,
            stored.status,
            stored.headers,
            stored.body,
        )
        return [answer, *_attempts.finish(state, active)]
    return _attempts.give_up(
        state, active, verdict.kind, verdict.ran, verdict.retry_after_ms
    )


def _refuse_unappended(
    state: _state.State,
    partition: _state.Partition,
    item: _state.QueuedEntry,
) -> Effects:
    """Refuse a claim that is known not to be on the log.

    No NOT_RUN entry has to void it.
    """
    claim_id = item.entry.claim_id
    peer = partition.forwarded.pop(claim_id, None)
    if peer is not None:
        verdict = _claim_verdict.unavailable(state.options.claim_retry_ms)
        message = _claim_verdict.to_message(
            partition.number, claim_id, verdict
        )
        return [effects.Send(peer, message)]
    active = state.requests.get(partition.undecided.get(claim_id))
    if active is not None:
        active.claim_lost = True
    return _refuse_undecided(state, partition, claim_id)


def _refuse_overdue(
    state: _state.State, partition: _state.Partition, at_ms: int
) -> Effects:
    """Refuse the requests whose claims were not decided by their deadline."""
    result: Effects = []
    for claim_id, request_id in list(partition.undecided.items()):
        active = state.requests.get(request_id)
        if active is None:
            del partition.undecided[claim_id]
        elif at_ms >= active.claim_by_ms:
            result += _refuse_undecided(state, partition, claim_id)
    return result


def _refuse_undecided(
    state: _state.State, partition: _state.Partition, claim_id: str
) -> Effects:
    """Refuse a request whose claim the log did not decide in time.

    The answer NOT_RUN is correct: only this gateway may run the request,
    and it drops the claim here. The NOT_RUN entry that follows voids the
    claim if it was, or will be, appended after all.
    """
    request_id = partition.undecided.pop(claim_id, None)
    active = state.requests.get(request_id)
    if active is None:
        return []
    return _attempts.give_up(
        state,
        active,
        errors.Kind.CLAIMS_UNAVAILABLE,
        errors.Ran.NOT_RUN,
        state.options.claim_retry_ms,
    )
