"""Claims of the keys of non-idempotent requests, before they are offered.

A claim is decided only by what was read from the log up to the claim itself;
that the append was confirmed says nothing about who came first.
"""

from berylhollow import claims
from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow.gateway import _attempts
from berylhollow.gateway import _claim_leader
from berylhollow.gateway import _claim_verdict
from berylhollow.gateway import _settlement
from berylhollow.gateway import _state
from berylhollow import messages

Effects = list[effects.Effect]


def claim(
    state: _state.State, active: _state.ActiveRequest, at_ms: int
) -> Effects:
    """Ask for the key of a request; it waits until the log has decided."""
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
    return _flush(state, partition, at_ms)


def tick(state: _state.State, at_ms: int) -> Effects:
    """Append what waits, read what is undecided, end what took too long."""
    done: Effects = []
    for partition in state.partitions.values():
        done += _give_up_late(state, partition, at_ms)
        _claim_leader.tick(state, partition, at_ms)
        done += _flush(state, partition, at_ms)
        done += _read(state, partition, at_ms)
    return done


def appended(state: _state.State, event: events.Appended) -> Effects:
    """A batch is on the log; reading it decides."""
    partition = _settlement.partition_with(state, event.stream)
    if partition is None or partition.append_id != event.append_id:
        return []
    done = _claim_leader.taken(partition)
    partition.appending = []
    partition.append_id = ''
    done += _flush(state, partition, event.at_ms)
    return done + _read(state, partition, event.at_ms)


def append_failed(state: _state.State, event: events.AppendFailed) -> Effects:
    """Refuse what was surely not appended, settle the rest by reading.

    Entries that tell how a claim ended are appended again in either case:
    the ledger takes a second one for the first.
    """
    partition = _settlement.partition_with(state, event.stream)
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
        return _read(state, partition, event.at_ms)
    done: Effects = []
    for item in batch:
        if isinstance(item.entry, claims.Claim):
            done += _not_appended(state, partition, item)
    return done


def log_read(state: _state.State, event: events.LogRead) -> Effects:
    """Decide the claims that the records which were read contain."""
    partition = _settlement.partition_with(state, event.stream)
    if partition is None:
        return []
    partition.reading = False
    partition.read_from_ms = event.at_ms + state.options.claim_poll_ms
    ledger = partition.ledger
    if event.first_offset > ledger.next_offset:
        ledger = _start_over(state, partition, event.first_offset)
    done: Effects = []
    for record in event.entries:
        for entry in ledger.apply(record):
            if isinstance(entry, claims.Claim):
                decided = (entry, record.at_ms, event.at_ms)
                done += _decide(state, partition, *decided)
    if event.entries:
        done += _read(state, partition, event.at_ms)
    return done


def log_read_failed(
    state: _state.State, event: events.LogReadFailed
) -> Effects:
    """Read again later; from the oldest record if ours are gone."""
    partition = _settlement.partition_with(state, event.stream)
    if partition is None:
        return []
    partition.reading = False
    partition.read_from_ms = event.at_ms + state.options.claim_retry_ms
    if event.first_offset is not None:
        _start_over(state, partition, event.first_offset)
    return []


def _start_over(
    state: _state.State, partition: _state.Partition, first_offset: int
) -> claims.Ledger:
    """Read all that is kept: retention is longer than a claim's window."""
    partition.ledger = claims.Ledger(
        state.options.claim_window_ms, next_offset=first_offset
    )
    return partition.ledger


def _flush(
    state: _state.State, partition: _state.Partition, at_ms: int
) -> Effects:
    """Append one batch at a time: the log takes few appends a second."""
    if partition.append_id or not partition.queue:
        return []
    if at_ms < partition.append_from_ms:
        return []
    leader = _claim_leader.route(state, partition, at_ms)
    size = state.options.claim_batch
    partition.appending = partition.queue[:size]
    del partition.queue[:size]
    state.appends += 1
    partition.append_id = f'{state.incarnation}/{state.appends}'
    partition.append_from_ms = at_ms + state.options.claim_flush_ms
    data = claims.encode([item.entry for item in partition.appending])
    partition.leader = leader
    if leader:
        return _claim_leader.forward(state, partition, data, at_ms)
    return [effects.Append(partition.stream, partition.append_id, data)]


def _read(
    state: _state.State, partition: _state.Partition, at_ms: int
) -> Effects:
    if partition.reading or partition.leader:
        return []
    if not partition.undecided and not partition.forwarded:
        return []
    if partition.append_id or at_ms < partition.read_from_ms:
        return []
    partition.reading = True
    return [effects.ReadLog(partition.stream, partition.ledger.next_offset)]


def _decide(
    state: _state.State,
    partition: _state.Partition,
    entry: claims.Claim,
    log_ms: int,
    at_ms: int,
) -> Effects:
    """Run the request if its claim holds the key, else say what does."""
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


def decided(state: _state.State, event: events.MessageReceived) -> Effects:
    """The leader of a partition read what the log says of our claim."""
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
    """Run a request whose claim holds its key, answer any other.

    A verdict that comes twice, or after the request was given up, finds
    nothing undecided: the request is never begun by it.
    """
    request_id = partition.undecided.pop(claim_id, None)
    active = state.requests.get(request_id)
    if active is None:
        return []
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


def _not_appended(
    state: _state.State,
    partition: _state.Partition,
    item: _state.QueuedEntry,
) -> Effects:
    """Refuse a claim that is surely not on the log: nothing to void."""
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
    return _unavailable(state, partition, claim_id)


def _give_up_late(
    state: _state.State, partition: _state.Partition, at_ms: int
) -> Effects:
    done: Effects = []
    for claim_id, request_id in list(partition.undecided.items()):
        active = state.requests.get(request_id)
        if active is None:
            del partition.undecided[claim_id]
        elif at_ms >= active.claim_by_ms:
            done += _unavailable(state, partition, claim_id)
    return done


def _unavailable(
    state: _state.State, partition: _state.Partition, claim_id: str
) -> Effects:
    """Refuse a request whose claim the log did not decide in time.

    "Not run" is true: only this gateway may run the claim, and it forgets
    it here. The NOT_RUN entry that follows voids the claim if it was, or
    will be, appended after all.
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
