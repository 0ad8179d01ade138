"""Messages between processes of this project, one frozen class each.

On the wire a message is an array of its tag and its fields in order. New
fields are always appended and have a default, so that processes of different
software versions can exchange messages.
"""

import dataclasses
import enum

from berylhollow import errors
from berylhollow import workspaces


SUCCESS_STATUSES = range(200, 300)

START_SEPARATOR = '@'
"""Separates the name and the start time in an incarnation's text."""


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """One start of an endpoint: its listed name and its start time.

    An endpoint may restart under the same name, and has then lost all its
    earlier state. ``started_ms`` is Unix time by the endpoint's own clock, 0
    if it does not say. Compare it only for equality: the clock may have been
    set back between two starts.
    """

    name: str
    started_ms: int = 0

    def __str__(self) -> str:
        if not self.started_ms:
            return self.name
        return f'{self.name}{START_SEPARATOR}{self.started_ms}'

    @staticmethod
    def is_incarnation_of(text: str, name: str) -> bool:
        """Tell whether ``text`` is an incarnation of ``name`` with a time."""
        named, separator, _ = text.rpartition(START_SEPARATOR)
        return bool(separator) and named == name

    @staticmethod
    def name_in(text: str) -> str:
        """Return the listed name in the text of an incarnation."""
        named, separator, _ = text.rpartition(START_SEPARATOR)
        return named if separator else text


MAX_VERSION_DIGITS = 20
"""Python reads no numbers of several thousand digits."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterVersion:
    """An adapter and its version, written ``adapter@version``."""

    adapter: str
    version: str

    def __str__(self) -> str:
        return f'{self.adapter}@{self.version}'

    @property
    def number(self) -> int:
        """The version as a number, -1 if it is none of at most 20 digits."""
        version = self.version
        if len(version) > MAX_VERSION_DIGITS or not version.isascii():
            return -1
        return int(version) if version.isdecimal() else -1


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
    version and body. ``isolate`` asks that no other request runs at the same
    time, as this one is suspected of crashing endpoints. ``another`` means
    that the gateway may make another attempt if this one fails.
    ``crashes_known`` counts the crashes of which the gateway suspects it.
    ``is_probe`` asks for a new connection to the endpoint: a run that is lost
    there has met a process that was alive. Only an endpoint with
    ``software_version`` may run it, if that is not empty.
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
    crashes_known: int = 0
    is_probe: bool = False
    software_version: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """The gateway cancels an attempt."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """Asks for all frames from ``next_sequence`` on, after a lost link."""

    attempt_id: str
    next_sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledge:
    """Confirms that all frames before ``next_sequence`` have arrived."""

    attempt_id: str
    next_sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The head of the answer: the endpoint began to answer.

    ``adapter`` is what the endpoint says it runs. The sidecar checks it
    against the offer before it sends this message. ``stalled_ms`` is how long
    the attempt waited for its adapter to load.
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
    """The answer is complete; it had ``count`` data messages."""

    attempt_id: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The attempt ended without a complete answer.

    ``ran`` is NOT_RUN only if the sidecar knows that the endpoint never
    started the request.
    """

    attempt_id: str
    kind: errors.Kind
    ran: errors.Ran
    retry_after_ms: int = 0
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class SlotReport:
    """The state of one adapter slot, as its sidecar knows it."""

    slot: int
    adapter: AdapterVersion | None
    ready: bool
    pins: int


class ModelLoad(enum.Enum):
    """The state of an endpoint's model load from the weight store."""

    NONE = 'none'
    NEEDED = 'needed'
    UNDER_WAY = 'under way'


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A sidecar's periodic report on its endpoint to its gateways.

    It is a hint and may be out of date. ``capacity`` is how many requests run
    at once, ``queued`` counts those that wait for a slot, a load or capacity,
    and ``wanted`` names the adapters that requests wait for. ``run_ms`` is
    the recent duration of a run. ``evictable`` means that a slot is free or
    can be freed for a load, which costs the endpoint ``victim_value`` expected
    requests a second. ``gateways`` is how many have a link to the sidecar.
    ``model_load`` says whether the endpoint still needs its model from the
    weight store. ``waiting_tokens`` is the sum of the prompt tokens that
    gateways last reported for requests sent there and not yet answered.
    ``token_ms`` is the time that the endpoint takes to read one prompt token,
    as measured by its sidecar, 0 if it isn't measured. ``read_share`` is the
    share of the last seconds, from 0 to 1, in which it was reading prompts.
    A sidecar that ``keeps_origins`` handles ``StreamsBegan``.
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
    token_ms: float = 0.0
    read_share: float = 0.0
    keeps_origins: bool = False


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
    """The coordinator grants a permit to load, which expires by itself."""

    adapter: AdapterVersion
    permit: int
    for_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadDeferred:
    """The coordinator has queued a request for a permit to load.

    ``for_ms`` is the estimated time until it is granted.
    """

    adapter: AdapterVersion
    for_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadEnded:
    """The sidecar returns its permit, whether it was used or not."""

    instance: str
    permit: int
    loaded: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterDemand:
    """One gateway's demand for one adapter at one endpoint.

    ``adapter`` has the newest version that is to be served. ``waiting``
    counts the requests that wait for it, ``in_flight`` those that may be
    using it, and ``rate`` is how many more a second are expected. ``queued``
    counts those in flight that were sent with an older version and have not
    begun, as far as the gateway has seen; ``overdue`` counts those of them
    that must not begin any more. ``urgency`` counts the waiting requests with
    more weight the more urgent they are; 0 where prompts are not admitted.
    """

    adapter: AdapterVersion
    waiting: int
    in_flight: int
    rate: float
    queued: int = 0
    overdue: int = 0
    urgency: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterDemands:
    """One gateway's current demand for all adapters at one endpoint.

    ``endpoint`` and ``started_ms`` name its incarnation as in the instance
    list, ``slots`` is how many adapters it can hold, ``models`` are those
    that its service needs. With ``hold_model`` other endpoints load their
    models from the weight store first. ``waiting_tokens`` counts the tokens
    of prompts that the gateway sent there and whose answers have not begun.
    With ``shares_reads`` the gateway wants to receive what others read from
    the platform's log. ``revision`` is that of the gateway's configuration.
    ``predecessor_ms`` is how long ago the gateway last heard from an earlier
    start of the sidecar, -1 if it was long ago or never. A gateway that
    ``tells_clearings`` tells each of its sidecars which requests it clears.
    ``longest_gap_ms`` is the longest gap between two parts of an answer from
    the endpoint, of those that have ended since the last message; it is only
    told of services whose prompts are admitted.
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
    predecessor_ms: int = -1
    tells_clearings: bool = False
    longest_gap_ms: int = 0

    @property
    def incarnation(self) -> Incarnation:
        """Return the endpoint's incarnation."""
        return Incarnation(self.endpoint, self.started_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class StreamPart:
    """Records of the platform's log that a gateway read for the others.

    ``records`` are those from ``from_offset`` up to but not including
    ``next_offset``; it is empty if there were no new ones. ``reader`` names
    the gateway, ``era`` is the era of the log in which the offsets are valid.
    """

    stream: str
    from_offset: int
    next_offset: int
    records: tuple[bytes, ...]
    reader: str
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CompressedStreamPart:
    """A ``StreamPart`` whose records are compressed; see ``stream_parts``.

    ``size_bytes`` is the size of ``data`` before the compression.
    """

    stream: str
    from_offset: int
    next_offset: int
    data: bytes
    size_bytes: int
    reader: str
    era: int = 0


AnyStreamPart = StreamPart | CompressedStreamPart
"""The two forms in which a part is sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaUses:
    """What one gateway has counted against the quotas of workspaces."""

    uses: tuple[workspaces.GatewayUsage, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaSums:
    """The quota usage of all gateways, as added up by a sidecar.

    ``book`` identifies the sidecar's start: sums from two different starts
    can't be compared.
    """

    book: str
    sums: tuple[workspaces.UsageTotals, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RateWanted:
    """A gateway asks how many requests it may send to a limited endpoint.

    ``endpoint`` is its name in the instance list, which all its starts have.
    ``rate_per_s`` is its rate limit as last known to the gateway.
    """

    endpoint: str
    rate_per_s: float
    wanted: int


@dataclasses.dataclass(frozen=True, slots=True)
class RateLent:
    """How many requests a gateway may send to an endpoint.

    If the limit is reached, ``wait_ms`` is the time until more are allowed.
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

    ``age_ms`` is how long ago the log is known to have held no later records,
    -1 if that is not known. With ``wanted`` the sender asks for the records
    from ``next_offset`` on.
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
    """A whole configuration, for a peer that lags behind log retention."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LostRun:
    """A run that ended with its endpoint; times before the report was made.

    ``crashes_known`` counts the crashes of the same request that its sender
    knew of when the run began. ``is_probe`` says whether it was sent as the
    only one after an earlier loss, None if an older process reports it.
    """

    crashes_known: int
    began_ms_ago: int
    lost_ms_ago: int
    is_probe: bool | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Crashed:
    """An endpoint crashed while requests with these fingerprints ran.

    ``crash_id`` names the endpoint and the epoch that ended. ``runs`` has one
    run of each fingerprint, and is empty if an older process reports. As in
    all messages about crashes, shared parts of prompts stand among the
    fingerprints, under keys of their own (``quarantine.part_key``).
    """

    crash_id: str
    service: str
    fingerprints: tuple[str, ...]
    runs: tuple[LostRun, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Cleared:
    """A request ran well after crashes that it was suspected of.

    ``ended`` names the endpoints' epochs whose ends its sender knew of.
    """

    fingerprint: str
    ended: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ForgetCrashes:
    """Says the same as Cleared to a sidecar that does not forward it."""

    fingerprint: str
    ended: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CrashesWanted:
    """Asks a sidecar for the crashes it keeps, for a gateway that starts."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeptCrash:
    """The end of an endpoint's epoch, as a sidecar keeps it.

    ``fingerprints`` are requests suspected of it, each with one run in
    ``runs``; ``had_others`` says whether other requests ran there as well.
    The first run was lost there ``lost_ms_ago``. Times are before the message
    was sent.
    """

    ended: str
    service: str
    lost_ms_ago: int
    fingerprints: tuple[str, ...]
    runs: tuple[LostRun, ...]
    had_others: bool


@dataclasses.dataclass(frozen=True, slots=True)
class KeptCrashes:
    """The crashes that a sidecar has kept for ``kept_ms``, oldest first."""

    kept_ms: int
    crashes: tuple[KeptCrash, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RunLost:
    """A run was cut off at a direct endpoint, which may have ended.

    ``is_probe`` says whether it had a permit (see ``ProbeWanted``). It was
    lost ``lost_ms_ago`` before the message was sent, after ``ran_ms``.
    """

    fingerprint: str
    endpoint: str
    is_probe: bool
    lost_ms_ago: int = 0
    ran_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointAnswered:
    """An endpoint answered after it had cut off a run: it has not ended."""

    fingerprint: str
    endpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeWanted:
    """Asks a sidecar for the permit to send a request that is suspect.

    The sidecar grants it to one gateway at a time. The permit ends with
    ``ProbeEnded``, or after ``lasts_ms``.
    """

    fingerprint: str
    lasts_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """Whether a gateway may send a suspect request."""

    fingerprint: str
    granted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeEnded:
    """Returns a permit, or says that it is not wanted any more."""

    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class RecordWanted:
    """Asks for a configuration record with a revision above a number."""

    above: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeptRecord:
    """The configuration record of a revision, compressed with zlib.

    ``size_bytes`` is the size of the record itself.
    """

    revision: int
    size_bytes: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimsForwarded:
    """Entries for a claims partition, for its leader to append.

    ``batch`` is an encoded record as defined in ``claims``.
    """

    partition: int
    batch_id: str
    batch: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimsTaken:
    """The entries of a forwarded batch have been appended to the log."""

    partition: int
    batch_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDecided:
    """The outcome of a forwarded claim, as recorded in the log.

    If the claim ``holds`` its key, the other fields have no meaning. If not,
    a ``status`` other than 0 means a stored answer in ``status``, ``headers``
    and ``body``; with 0 the answer is the error in ``kind`` and ``ran``.
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


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionWanted:
    """A gateway asks a sidecar when it may send a request to its endpoint.

    ``tokens`` is the size of the whole prompt. ``priority`` 0 is the most
    urgent; ``workspace`` is empty without one. ``objective_ms`` is the time
    left until the first event would be late, negative if it is already.
    ``event_gap_ms`` is the longest allowed gap between two events of an
    answer of the service, and ``event_steps`` is how many steps of the engine
    an event takes. A further message for a known request replaces the earlier
    one.
    """

    request_id: str
    tokens: int
    priority: int
    workspace: str
    objective_ms: int
    event_gap_ms: int
    event_steps: int


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionQueued:
    """A sidecar has queued a request; its grant is expected in ``wait_ms``."""

    request_id: str
    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionGranted:
    """A sidecar allows a gateway to send a request to its endpoint now."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionEnded:
    """A request no longer waits for admission or for its first event.

    ``begun`` is True if its answer has begun, so that its prompt was read.
    """

    request_id: str
    begun: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The software version of a service that began a stream.

    ``stream`` is the key of the request that brought its first event.
    ``software_version`` is empty if it can't be told. The sidecar that gets
    it keeps it for ``for_ms``.
    """

    stream: bytes
    service: str
    software_version: str
    for_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StreamsBegan:
    """A gateway tells a sidecar of streams that callers may take up again."""

    origins: tuple[StreamOrigin, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OriginWanted:
    """A gateway asks a sidecar which software version began a stream."""

    stream: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class OriginAnswered:
    """What a sidecar knows of the origin of a stream, None for nothing."""

    stream: bytes
    origin: StreamOrigin | None


@dataclasses.dataclass(frozen=True, slots=True)
class ListedVersion:
    """A software version and how long ago it was last listed."""

    version: str
    listed_ms_ago: int


@dataclasses.dataclass(frozen=True, slots=True)
class SoftwareHistory:
    """The software versions of a service that gateways have seen listed.

    The list was observed for ``watched_ms``, -1 since the first start of the
    system, up to ``observed_ms_ago`` before the message was sent.
    """

    service: str
    watched_ms: int
    observed_ms_ago: int
    versions: tuple[ListedVersion, ...]

    @property
    def is_complete(self) -> bool:
        """Whether it goes back to the first start of the system."""
        return self.watched_ms < 0


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
    | CompressedStreamPart
    | QuotaUses
    | QuotaSums
    | RateWanted
    | RateLent
    | RecordWanted
    | KeptRecord
    | Cleared
    | ForgetCrashes
    | CrashesWanted
    | KeptCrashes
    | RunLost
    | EndpointAnswered
    | ProbeWanted
    | ProbeAnswered
    | ProbeEnded
    | AdmissionWanted
    | AdmissionQueued
    | AdmissionGranted
    | AdmissionEnded
    | StreamsBegan
    | OriginWanted
    | OriginAnswered
    | SoftwareHistory
)

# A tag that has been released is never reused for another message.
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
    27: CompressedStreamPart,
    28: RecordWanted,
    29: KeptRecord,
    30: Cleared,
    31: ForgetCrashes,
    32: CrashesWanted,
    33: KeptCrashes,
    34: RunLost,
    35: EndpointAnswered,
    36: ProbeWanted,
    37: ProbeAnswered,
    38: ProbeEnded,
    39: AdmissionWanted,
    40: AdmissionQueued,
    41: AdmissionGranted,
    42: AdmissionEnded,
    43: StreamsBegan,
    44: OriginWanted,
    45: OriginAnswered,
    46: SoftwareHistory,
}
