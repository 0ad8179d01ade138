"""Messages between our own processes, one frozen class each.

On the wire a message is an array of its tag and its fields in order. Fields
are only ever appended, with a default, so that two software versions can
talk to each other.
"""

import dataclasses
import enum

from berylhollow import errors
from berylhollow import workspaces


START_SEPARATOR = '@'
"""Between the name and the start in the text of an incarnation."""


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """One start of an endpoint: the name that it is listed under, and when.

    An endpoint may start again under its old name, and then holds and knows
    nothing of before. ``started_ms`` is Unix time by its own clock, 0 if it
    does not say. It is only compared for being the same: that clock may have
    been set back between two starts.
    """

    name: str
    started_ms: int = 0

    def __str__(self) -> str:
        if not self.started_ms:
            return self.name
        return f'{self.name}{START_SEPARATOR}{self.started_ms}'

    @staticmethod
    def is_start_of(text: str, name: str) -> bool:
        """Tell whether a text is that of some known start of a name."""
        named, separator, _ = text.rpartition(START_SEPARATOR)
        return bool(separator) and named == name


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterVersion:
    """An adapter and its version, written ``adapter@version``."""

    adapter: str
    version: str

    def __str__(self) -> str:
        return f'{self.adapter}@{self.version}'


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A gateway asks a sidecar to run one attempt of a request.

    ``remaining_ms`` counts from the moment of sending, since instances do
    not share a clock. ``fingerprint`` is a digest of service, adapter,
    version and body. ``isolate`` asks for a run with nothing beside it: the
    request is suspect of crashing endpoints. ``another`` tells that a run
    that fails may be followed by another one.
    """

    attempt_id: str
    request_id: str
    caller: str
    service: str
    adapter: AdapterVersion | None
    idempotent: bool
    priority: int
    remaining_ms: int
    fingerprint: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    prompt_tokens: int = 0
    output_tokens: int = 0
    revision: int = 0
    isolate: bool = False
    host: str = ''
    another: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """The gateway no longer wants the attempt."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """After a broken link: send again from ``next_sequence`` on."""

    attempt_id: str
    next_sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledge:
    """Everything before ``next_sequence`` has arrived."""

    attempt_id: str
    next_sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The endpoint began to answer; the head of its answer.

    ``adapter`` is what the endpoint says it runs, checked by the sidecar
    against the name in the offer before this is sent. ``stalled_ms`` is how
    long the attempt waited for its adapter to be loaded.
    """

    attempt_id: str
    status: int
    headers: tuple[Header, ...]
    adapter: AdapterVersion | None
    stalled_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Data:
    """Part of the answer's body; sequence numbers count from 0."""

    attempt_id: str
    sequence: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """The answer is whole: ``count`` data messages came before."""

    attempt_id: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The attempt has ended without a whole answer.

    ``ran`` is NOT_RUN only if the sidecar knows that the endpoint never
    began it.
    """

    attempt_id: str
    kind: errors.Kind
    ran: errors.Ran
    retry_after_ms: int = 0
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class SlotReport:
    """One adapter slot as the sidecar knows it."""

    slot: int
    adapter: AdapterVersion | None
    ready: bool
    pins: int


class ModelLoad(enum.Enum):
    """How far an endpoint is with its model from the weight store."""

    NONE = 'none'
    NEEDED = 'needed'
    UNDER_WAY = 'under way'


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a sidecar tells its gateways of its endpoint now and then.

    A hint only. ``capacity`` is how many requests run at once, ``queued``
    counts those waiting for a slot, a load or room; ``wanted`` names the
    adapters that requests wait for. ``run_ms`` is how long a run takes of
    late, ``evictable`` tells that a slot is free for a load, which would
    cost the endpoint ``victim_value`` in expected requests a second.
    ``gateways`` is how many have a link to the sidecar. ``model_load`` says
    whether the endpoint still needs its model from the weight store.
    ``waiting_tokens`` adds up the prompts that all gateways sent there and
    whose answers have not begun, as they last told.
    """

    instance: str
    service: str
    failure_domain: str
    epoch: str
    ready: bool
    leaving: bool
    slots: tuple[SlotReport, ...]
    wanted: tuple[AdapterVersion, ...]
    running: int
    queued: int
    capacity: int
    revision: int
    run_ms: float = 0.0
    evictable: bool = True
    victim_value: float = 0.0
    gateways: int = 1
    model_load: ModelLoad = ModelLoad.NONE
    waiting_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadWanted:
    """A sidecar asks the load coordinator for a permit to load."""

    instance: str
    service: str
    adapter: AdapterVersion
    waiting: int
    oldest_wait_ms: int
    priority: int
    value: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadGranted:
    """The coordinator lets the sidecar load; lapses by itself."""

    adapter: AdapterVersion
    permit: int
    for_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadDeferred:
    """The coordinator knows of the wish and will grant it in its turn.

    ``for_ms`` is how long that may take, a guess.
    """

    adapter: AdapterVersion
    for_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadEnded:
    """The sidecar gives its permit back, used or not."""

    instance: str
    permit: int
    loaded: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterDemand:
    """What one gateway needs of an adapter at one endpoint.

    ``adapter`` has the newest version that is to be served. ``waiting``
    requests wait for it, ``in_flight`` may be using it, and ``rate`` more a
    second are expected.
    """

    adapter: AdapterVersion
    waiting: int
    in_flight: int
    rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterDemands:
    """All that a gateway needs of adapters at one endpoint, now.

    ``endpoint`` and ``started_ms`` name its incarnation as the gateway has it
    from the list, ``slots`` is how many adapters it can hold, ``models`` are
    those that its service needs. With ``hold_model`` other endpoints come
    first with loading theirs from the weight store. ``waiting_tokens`` are
    those of the prompts that the gateway sent there and whose answers have
    not begun. With ``shares_reads`` the gateway wants to be told what others
    read of the platform's log. ``revision`` is that of its configuration.
    """

    endpoint: str
    service: str
    slots: int
    models: tuple[str, ...]
    entries: tuple[AdapterDemand, ...]
    started_ms: int = 0
    hold_model: bool = False
    waiting_tokens: int = 0
    shares_reads: bool = False
    revision: int = 0

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation of the endpoint that this is about."""
        return Incarnation(self.endpoint, self.started_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class StreamPart:
    """Records of the platform's log that one gateway read, for the others.

    ``records`` are those from ``from_offset`` up to before ``next_offset``;
    without any, nothing was new. ``reader`` names the gateway, ``era`` is
    that of the log in which the offsets hold.
    """

    stream: str
    from_offset: int
    next_offset: int
    records: tuple[bytes, ...]
    reader: str
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaUses:
    """What a gateway has used of the quotas of workspaces, by its count."""

    uses: tuple[workspaces.Use, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaSums:
    """What all gateways have used, as a sidecar adds it up.

    ``book`` names the start of the sidecar: sums of two can't be compared.
    """

    book: str
    sums: tuple[workspaces.Sum, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RateWanted:
    """A gateway asks for requests to an endpoint that has named a limit.

    ``rate_per_s`` is what the endpoint takes, as the gateway last heard.
    """

    endpoint: str
    rate_per_s: float
    wanted: int


@dataclasses.dataclass(frozen=True, slots=True)
class RateLent:
    """How many requests a gateway may send to an endpoint.

    ``wait_ms`` is when there is room again if there is none now.
    """

    endpoint: str
    count: int
    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """A record of the platform's log; ``at_ms`` is the log's own clock."""

    offset: int
    at_ms: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationAt:
    """How far the sender has read the configuration.

    ``age_ms`` is how long ago the log is known to have held no more than
    this, -1 if that is not known. A ``wanted`` one asks for what follows.
    """

    instance: str
    revision: int
    next_offset: int
    age_ms: int = -1
    wanted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationEntries:
    """Records of the configuration stream, in order, without gaps."""

    entries: tuple[LogEntry, ...]
    next_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationSnapshot:
    """A whole configuration, for a peer that lags behind retention."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Crashed:
    """An endpoint crashed while these fingerprints ran on it.

    ``crash_id`` names the endpoint and the epoch that ended.
    """

    crash_id: str
    service: str
    fingerprints: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimsForwarded:
    """Entries for a claims partition, for its leader to append.

    ``batch`` is a record as in ``claims``.
    """

    partition: int
    batch_id: str
    batch: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimsTaken:
    """The entries of a forwarded batch are on the log."""

    partition: int
    batch_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDecided:
    """What the log says of a forwarded claim.

    If it ``holds`` its key nothing else matters; else ``kind`` and ``ran``
    are the answer, or ``status`` other than 0 begins a stored one.
    """

    partition: int
    claim_id: str
    holds: bool
    kind: errors.Kind = errors.Kind.INTERNAL
    ran: errors.Ran = errors.Ran.NOT_RUN
    retry_after_ms: int = 0
    status: int = 0
    headers: tuple[Header, ...] = ()
    body: bytes = b''


Message = (
    Offer
    | Cancel
    | Resume
    | Acknowledge
    | Started
    | Data
    | End
    | Failed
    | Report
    | LoadWanted
    | LoadGranted
    | LoadDeferred
    | LoadEnded
    | ConfigurationAt
    | ConfigurationEntries
    | ConfigurationSnapshot
    | Crashed
    | ClaimsForwarded
    | ClaimsTaken
    | ClaimDecided
    | AdapterDemands
    | StreamPart
    | QuotaUses
    | QuotaSums
    | RateWanted
    | RateLent
)

# A tag is never given to another message once it was released.
TAGS: dict[int, type] = {
    1: Offer,
    2: Cancel,
    3: Resume,
    4: Acknowledge,
    5: Started,
    6: Data,
    7: End,
    8: Failed,
    9: Report,
    10: LoadWanted,
    11: LoadGranted,
    12: LoadEnded,
    13: ConfigurationAt,
    14: ConfigurationEntries,
    15: ConfigurationSnapshot,
    16: Crashed,
    17: ClaimsForwarded,
    18: ClaimsTaken,
    19: ClaimDecided,
    20: LoadDeferred,
    21: AdapterDemands,
    22: StreamPart,
    23: QuotaUses,
    24: QuotaSums,
    25: RateWanted,
    26: RateLent,
}
