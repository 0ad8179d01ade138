"""The records of a claims stream; each is a batch of entries in CBOR."""

import dataclasses
import enum
import hashlib

import cbor2

from berylhollow import messages

STREAM_PREFIX = 'claims-'
DIGEST_BYTES = 16
CLAIM_TAG = 1
SETTLED_TAG = 2


class RecordError(ValueError):
    """A record is not a batch of claim entries."""


class Outcome(enum.Enum):
    """How a claimed request ended; NOT_RUN frees the key."""

    RAN = 'ran'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A complete answer, stored for a caller that sends its key again."""

    status: int
    headers: tuple[messages.Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A claim of a request on its key.

    ``key`` is a digest of the caller, the service and the key of the request;
    ``fingerprint`` is a digest of the request. ``lifetime_ms`` is how long
    the request can be in flight.
    """

    key: bytes
    claim_id: str
    fingerprint: bytes
    lifetime_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """The outcome of a claim, with the answer if it is small enough."""

    key: bytes
    claim_id: str
    outcome: Outcome
    answer: StoredAnswer | None = None


Entry = Claim | Settled


def digest_key(caller: str, service: str, key: str) -> bytes:
    """Return the digest under which a caller's key is claimed.

    The parts are length-prefixed, so that moving characters from one part to
    the next changes the digest.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (caller, service, key):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4))
        digest.update(encoded)
    return digest.digest()


def partition_of(key: bytes, partitions: int) -> int:
    """Return the number of the partition that holds a key's claims."""
    return int.from_bytes(key[:4]) % partitions


def stream_of(partition: int) -> str:
    """Return the name of a partition's stream on the log."""
    return f'{STREAM_PREFIX}{partition}'


def encode(entries: list[Entry]) -> bytes:
    """Return a batch of entries as one record."""
    return cbor2.dumps([_to_fields(entry) for entry in entries])


def decode(data: bytes) -> list[Entry]:
    """Return the entries of a record; raise RecordError if it is malformed.

    Entries with a tag that this version does not know are skipped.
    """
    try:
        return [
            _from_fields(fields)
            for fields in cbor2.loads(data)
            if fields[0] in (CLAIM_TAG, SETTLED_TAG)
        ]
    except (cbor2.CBORDecodeError, TypeError, ValueError, LookupError) as e:
        raise RecordError(str(e)) from e


def _to_fields(entry: Entry) -> list:
    if isinstance(entry, Claim):
        return [
            CLAIM_TAG,
            entry.key,
            entry.claim_id,
            entry.fingerprint,
            entry.lifetime_ms,
        ]
    answer = None
    if entry.answer is not None:
        headers = [[item.name, item.value] for item in entry.answer.headers]
        answer = [entry.answer.status, headers, entry.answer.body]
    return [
        SETTLED_TAG,
        entry.key,
        entry.claim_id,
        entry.outcome.value,
        answer,
    ]


def _from_fields(fields: list) -> Entry:
    if fields[0] == CLAIM_TAG:
        return Claim(*fields[1:5])
    _, key, claim_id, outcome, answer = fields[:5]
    stored = None
    if answer is not None:
        status, pairs, body = answer
        headers = tuple(messages.Header(*pair) for pair in pairs)
        stored = StoredAnswer(status, headers, body)
    return Settled(key, claim_id, Outcome(outcome), stored)
