"""State of a gateway: endpoints, sidecars, callers, requests and claims."""

import dataclasses
import enum

from berylhollow import claims
from berylhollow import clock
from berylhollow import events
from berylhollow import following
from berylhollow.gateway import _options
from berylhollow.gateway import _placement
from berylhollow.gateway import _revisions
from berylhollow import messages
from berylhollow import policy
from berylhollow import quarantine
from berylhollow import rate_limits
from berylhollow import resumption
from berylhollow.util import hash_ring
from berylhollow.util import longest
from berylhollow.util import token_bucket
from berylhollow import workspaces


DEMAND_TIME_CONSTANT_MS = 4000.0
"""Time constant with which the demand for an adapter decays.

Short compared with the tens of seconds between shifts of demand, long compared
with the second or so between two requests for an adapter that is worth a slot.
"""

CUT_OFF_TTL_MS = 10_000
"""How long a cut-off run is remembered. A crashed endpoint is detected within
three heartbeats of about a second, and is back a few seconds later."""


class LinkPhase(enum.Enum):
    """State of the link to a peer."""

    CLOSED = 'closed'
    OPENING = 'opening'
    OPEN = 'open'


@dataclasses.dataclass(frozen=True, slots=True)
class CutOffRun:
    """A run that was interrupted, with the crashes known when it began.

    ``endpoint_answered`` says whether its endpoint answered afterwards.
    """

    began_ms: int
    lost_ms: int
    crashes_known: int
    is_probe: bool
    endpoint_answered: bool = False


@dataclasses.dataclass(slots=True)
class Endpoint:
    """An endpoint, as known from the instance list, reports and answers.

    ``attempts_in_flight`` has the ids of this gateway's attempts in flight
    there; it is exact, while reports lag. ``in_flight_at_report`` is how many
    there were when the last report came. ``waiting_tokens`` counts the prompt
    tokens of this gateway's requests there whose answers have not begun or
    that wait for their adapter; ``others_tokens`` counts those of other
    gateways, as of the last report. ``lost`` has a run for each fingerprint
    of the requests whose runs there were interrupted, the last of them at
    ``cut_off_ms``; ``doubted_since_ms`` is when the first of those was sent
    after which another start may have its name; ``ended_ms`` is when the first
    of those was lost that its end cut off. ``longest_gap_ms`` is the longest
    gap in an answer that has ended since its sidecar was told.

    ``notice`` is the newest one in an answer, to a request that was sent at
    ``notice_sent_ms``. ``loan`` is what this gateway may send while the
    endpoint has a rate limit. No request is sent before ``paused_until_ms``.

    ``reported_start`` is another start at its name, not listed yet, which its
    sidecar has reported since ``reported_ms``.

    ``leaving`` of a direct endpoint is final: it has announced it or was
    found to have ended. ``listed`` and ``superseded`` follow the newest list
    and may change back: an entry can expire while its endpoint is alive, and
    an entry of another writer may name its address. So may ``is_replaced``:
    a start with another software version is listed under its name.
    """

    instance: events.Instance
    link: LinkPhase = LinkPhase.CLOSED
    incarnation: str = ''
    report: messages.Report | None = None
    report_at_ms: int = 0
    in_flight_at_report: int = 0
    leaving: bool = False
    listed: bool = True
    superseded: bool = False
    is_replaced: bool = False
    retry_link_at_ms: int = 0
    refusals: int = 0
    link_address: str = ''
    attempts_in_flight: set[str] = dataclasses.field(default_factory=set)
    waiting_tokens: int = 0
    others_tokens: int = 0
    longest_gap_ms: int = 0
    lost: dict[str, CutOffRun] = dataclasses.field(default_factory=dict)
    ended_ms: int | None = None
    cut_off_ms: int = clock.NEVER_MS
    doubted_since_ms: int = clock.NEVER_MS
    failures: int = 0
    ejections: int = 0
    ejected_until_ms: int = 0
    notice: events.EndpointNotice = events.EndpointNotice()
    notice_sent_ms: int = clock.NEVER_MS
    paused_until_ms: int = clock.NEVER_MS
    reported_start: str = ''
    reported_ms: int = clock.NEVER_MS
    loan: rate_limits.Loan = dataclasses.field(
        default_factory=rate_limits.Loan
    )

    @property
    def has_moved(self) -> bool:
        """Whether the link goes to an address other than the listed one."""
        return self.link_address != self.instance.address

    @property
    def is_usable(self) -> bool:
        """Whether it takes requests, apart from ejection and pauses."""
        if self.instance.direct:
            return self.listed and not (self.leaving or self.superseded)
        return self.link is LinkPhase.OPEN and not self.leaving

    @property
    def has_model(self) -> bool:
        """Whether the endpoint holds its model, as far as is known.

        A new incarnation of a direct endpoint holds none until its sidecar
        has had it loaded.
        """
        if not self.instance.direct or self.report is None:
            return True
        return self.report.ready

    def is_usable_at(self, at_ms: int) -> bool:
        """Tell whether the endpoint is usable, not ejected and not paused."""
        resumes_ms = max(self.ejected_until_ms, self.paused_until_ms)
        return self.is_usable and at_ms >= resumes_ms


@dataclasses.dataclass(frozen=True, slots=True)
class StoredNotice:
    """The last notice of an endpoint that is not in the instance list.

    It came in the answer to a request that was sent at ``sent_ms``.
    """

    notice: events.EndpointNotice = events.EndpointNotice()
    sent_ms: int = clock.NEVER_MS
    paused_until_ms: int = clock.NEVER_MS


@dataclasses.dataclass(slots=True)
class DoubtfulNotice:
    """What was received as notices of ``instance``.

    They may be of the next start under the same name. At ``at_ms`` it said
    that it is ``leaving``, or wants no requests before ``paused_until_ms``.
    ``rate_per_s`` is the rate limit that it named at ``rate_stated_ms``.
    """

    instance: str
    at_ms: int = clock.NEVER_MS
    leaving: bool = False
    paused_until_ms: int = clock.NEVER_MS
    rate_per_s: float | None = None
    rate_stated_ms: int = clock.NEVER_MS


@dataclasses.dataclass(slots=True)
class Sidecar:
    """The sidecar beside a direct endpoint, which loads its adapters.

    ``report`` is the last one while the link is open, received at
    ``heard_ms``. ``incarnation`` is its last known start, an earlier one was
    heard from at ``predecessor_heard_ms``. ``told_ms`` is when the demand was
    last sent to it, ``told_tokens`` how many waiting tokens it named. No
    admission is asked of it before ``unasked_until_ms``. ``listed`` is the
    start of its endpoint in the list, ``listed_before`` the one before that.
    """

    address: str
    link: LinkPhase = LinkPhase.CLOSED
    retry_at_ms: int = 0
    refusals: int = 0
    report: messages.Report | None = None
    heard_ms: int = clock.NEVER_MS
    incarnation: str = ''
    predecessor_heard_ms: int = clock.NEVER_MS
    told_ms: int = clock.NEVER_MS
    told_tokens: int = 0
    unasked_until_ms: int = clock.NEVER_MS
    listed: str = ''
    listed_before: str = ''


@dataclasses.dataclass(slots=True)
class CrashSource:
    """A sidecar that was asked at ``asked_ms`` for the crashes it keeps.

    It has kept them for ``kept_ms``, None until it answers.
    """

    asked_ms: int
    kept_ms: int | None = None


@dataclasses.dataclass(slots=True)
class Caller:
    """A caller's requests in flight and its limits.

    The limits were computed for the configuration ``revision`` and the number
    of ``gateways``.
    """

    rate: token_bucket.TokenBucket
    in_flight: int = 0
    in_flight_limit: int = 0
    revision: int = -1
    gateways: int = 0
    seen_ms: int = 0


class Phase(enum.Enum):
    """Stage of a request.

    CLAIMING waits for the log's decision on its key, WAITING has no attempt
    at an endpoint, OFFERED has one that is not answered yet, RELAYING has one
    whose answer is being sent to the caller.
    """

    CLAIMING = 'claiming'
    WAITING = 'waiting'
    OFFERED = 'offered'
    RELAYING = 'relaying'


@dataclasses.dataclass(slots=True)
class PromptAdmission:
    """The admission of a request at an endpoint, asked of its sidecar.

    It was found not to be answered yet at ``checked_ms``, None if it was not.
    If the request was queued and has no grant by ``expires_ms``, the sidecar
    is asked again.
    """

    endpoint: str
    peer: str
    asked_ms: int
    checked_ms: int | None = None
    expires_ms: int | None = None
    granted: bool = False

    @property
    def is_queued(self) -> bool:
        """Whether the sidecar has answered, but has not granted it."""
        return self.expires_ms is not None and not self.granted

    def is_expired(self, at_ms: int) -> bool:
        """Tell whether the grant should have come by now."""
        return self.is_queued and at_ms >= self.expires_ms


@dataclasses.dataclass(slots=True)
class Resumption:
    """A stream that is taken up again, and what is known of its origin.

    ``stream`` is its key, None if the caller doesn't name it. It may go on at
    ``software_version`` only, which is empty until it is known. ``begun_ms``
    is when the request arrived.
    ``answered`` maps the sidecars that were asked to whether they have
    answered, the last of them at ``asked_ms``.
    """

    stream: bytes | None
    begun_ms: int
    software_version: str = ''
    asked_ms: int = clock.NEVER_MS
    answered: dict[str, bool] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class ActiveRequest:
    """A request whose caller has not received the whole answer.

    ``room_asked_ms`` is since when it waits for a lender's answer, as every
    remaining endpoint is at its rate limit; None if it does not wait.
    ``key_revision`` is the revision of the configuration in which its key was
    last looked up. ``offered_adapter`` is what its current attempt runs with;
    ``is_overdue_reported`` is True once its endpoint's sidecar has been told
    that this attempt must not begin any more. ``keys`` are what it may be
    blamed by: its fingerprint, then the shared parts of its prompt.
    ``ends_known`` are the endpoints that were known to have ended, or cut off
    a run, under the same request when its current attempt was sent, and
    ``part_crashes_known`` how many had ended under the part that it is a probe
    for. That attempt has a permit for the keys of ``probe_for``, for which it
    has waited since ``permit_wanted_ms``. ``limited_to`` are the only
    endpoints that it may be sent to, if there is such a limit. ``admission``
    is kept until the first event of the answer; ``admission_refusals`` has the
    endpoints whose sidecars can't admit it in time, with the wait that they
    expect, -1 if they don't queue it. ``stream`` is the key under which its
    stream may be taken up again, None if it may not be; ``resumption`` is set
    if it takes one up itself. ``has_ended`` is set once its endpoint has sent
    the whole answer, which its caller may still be reading.
    ``route_services`` and ``route_timeout_ms`` are those of its route.
    """

    request: events.Request
    arrived_ms: int
    deadline_ms: int
    seed: float
    service: str = ''
    most_runs: int = 3
    objective_ms: int = 0
    runs: int = 0
    phase: Phase = Phase.WAITING
    has_ended: bool = False
    attempt_id: str = ''
    endpoint: str = ''
    incarnation: str = ''
    attempts: int = 0
    resume_by_ms: int | None = None
    offered_ms: int = 0
    offered_adapter: messages.AdapterVersion | None = None
    is_overdue_reported: bool = False
    queued_tokens: int = 0
    tokens_ahead: int = 0
    awaiting: str = ''
    awaiting_since_ms: int | None = None
    room_asked_ms: int | None = None
    resumed: bool = False
    retry_at_ms: int | None = None
    tried_endpoints: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False
    used_free_retry: bool = False
    isolated: bool = False
    crashes_known: int = 0
    ends_known: tuple[str, ...] = ()
    part_crashes_known: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    probe_for: tuple[str, ...] = ()
    permit_wanted_ms: int | None = None
    limited_to: tuple[str, ...] | None = None
    admission: PromptAdmission | None = None
    admission_refusals: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    stream: bytes | None = None
    resumption: Resumption | None = None
    route_services: tuple[str, ...] = ()
    route_timeout_ms: int = 0
    last_refusal: messages.Failed | None = None
    key: bytes = b''
    claim_id: str = ''
    claim_by_ms: int = 0
    claim_lost: bool = False
    workspace: workspaces.Workspace | None = None
    key_revision: int = 0
    cost: int = 0
    reserved: bool = False
    keys: tuple[str, ...] = dataclasses.field(init=False)

    def __post_init__(self):
        request = self.request
        self.keys = quarantine.keys(request.fingerprint, request.shared_parts)

    @property
    def is_probe(self) -> bool:
        """Tell whether its current attempt was sent with a permit."""
        return bool(self.probe_for)

    @property
    def software_version(self) -> str:
        """The only software version that may run it, empty for any."""
        resumption = self.resumption
        return '' if resumption is None else resumption.software_version

    def is_admitted_at(self, name: str) -> bool:
        """Tell whether the sidecar of an endpoint has admitted it there."""
        admission = self.admission
        return (
            admission is not None
            and admission.granted
            and admission.endpoint == name
        )

    @property
    def offered(self) -> bool:
        """Tell whether an attempt is at an endpoint."""
        return self.phase in (Phase.OFFERED, Phase.RELAYING)


@dataclasses.dataclass(slots=True)
class Probe:
    """A request that has, or wants, the permit to run as a suspect.

    ``asked`` are the sidecars that were asked for it. If none answers, another
    one is asked at ``ask_again_ms``.
    """

    request_id: str
    asked: list[str] = dataclasses.field(default_factory=list)
    ask_again_ms: int = clock.NEVER_MS
    granted: bool = False


@dataclasses.dataclass(slots=True)
class Silence:
    """For how long no sidecar has answered who was asked for a permit.

    ``since_ms`` is the first time that none did, ``last_ms`` the last one.
    """

    since_ms: int
    last_ms: int


@dataclasses.dataclass(slots=True)
class PartRun:
    """A run that began to write an answer on shared parts, by their keys.

    ``is_over`` says whether the answer has ended well since.
    """

    attempt_id: str
    endpoint: str
    began_ms: int
    parts: tuple[str, ...]
    is_over: bool = False


@dataclasses.dataclass(slots=True)
class PartProof:
    """The latest run of this gateway that lived on with a part.

    ``losses`` counts how often the part was lost since, runs that were lost
    together once, and ``lost_ms`` is when the last of them began.
    """

    endpoint: str
    at_ms: int
    losses: int = 0
    lost_ms: int = 0


@dataclasses.dataclass(slots=True)
class ForwardedBatch:
    """A batch from another gateway; ``left`` entries are still to append."""

    peer: str
    batch_id: str
    left: int


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedEntry:
    """An entry to append, of this gateway or of a forwarded batch."""

    entry: claims.Entry
    batch: ForwardedBatch | None = None


@dataclasses.dataclass(slots=True)
class Partition:
    """One stream of claims, as this gateway uses it.

    ``undecided`` maps claims that the log has not decided to their requests,
    ``forwarded`` maps claims of other gateways to the gateway that sent them.
    ``queue`` has the entries to be appended, ``appending`` those in flight to
    the log or to the partition's ``leader``.
    """

    number: int
    stream: str
    ledger: claims.Ledger
    undecided: dict[str, str] = dataclasses.field(default_factory=dict)
    forwarded: dict[str, str] = dataclasses.field(default_factory=dict)
    queue: list[QueuedEntry] = dataclasses.field(default_factory=list)
    appending: list[QueuedEntry] = dataclasses.field(default_factory=list)
    leader: str = ''
    forward_deadline_ms: int = 0
    direct_until_ms: int = 0
    append_id: str = ''
    append_from_ms: int = 0
    reading: bool = False
    read_from_ms: int = 0


@dataclasses.dataclass(slots=True)
class WantedLoad:
    """The load that a sidecar wants most, received at ``at_ms``."""

    message: messages.LoadWanted
    at_ms: int


@dataclasses.dataclass(slots=True)
class Permit:
    """A load permit that a sidecar has not returned."""

    peer: str
    granted_ms: int
    lapses_ms: int


@dataclasses.dataclass(slots=True)
class LoadCoordination:
    """State of a gateway that coordinates loads from the weight store.

    ``wanted_loads`` has one entry per sidecar. ``granted`` counts the permits,
    which it also numbers; ``load_ms`` is the smoothed duration of a load.
    """

    rate: token_bucket.TokenBucket
    load_ms: float
    wanted_loads: dict[str, WantedLoad] = dataclasses.field(
        default_factory=dict
    )
    permits: dict[int, Permit] = dataclasses.field(default_factory=dict)
    granted: int = 0


@dataclasses.dataclass(slots=True)
class State:
    """The whole state of a gateway's reducer.

    ``sidecars`` are those of direct endpoints, by peer name,
    ``absent_sidecars`` those whose endpoints have left the instance list;
    ``endpoint_by_peer`` maps a peer name to the endpoint that is listed there
    now. ``awaiting_adapter`` has, by endpoint, the requests that wait for an
    adapter there; ``model_loads`` has, by service, the endpoints that need
    their model from the weight store. ``relays`` are the sidecars that pass on
    what this gateway reads of the platform's log; the first of them also sends
    it what others read. ``gateways`` is the number of gateways, as far as is
    known. ``token_ms`` is the time to process one prompt token, by service.

    ``rate_limited`` has the endpoints with a rate limit, ``absent_notices``
    the notices of endpoints that left the list. ``listed_ms`` is when the
    instance list in use was received. ``doubtful_notices`` has notices that
    may be of a start that is not listed yet, by name. ``known_revisions`` are
    the revisions of the configuration that other gateways are known to have,
    ``started_ms`` is when this gateway started. ``records_asked`` counts how
    often it asked for the record of a newer one, next at ``ask_record_ms``.

    ``crash_sources`` are the sidecars that were asked for the crashes before
    this gateway started, by peer. ``unsettled`` has the runs that were cut
    off, ``life_checks`` when to ask an endpoint that lost one whether it
    lives, ``probes`` the suspect requests that run or want to, by key,
    ``part_runs`` those that may clear parts of their prompts, by request id,
    ``part_proofs`` what the latest of them showed, by key,
    ``parts_cleared_ms`` when parts were cleared, by key and endpoint,
    ``successes`` how often suspects ran well since they last lost a run.
    ``silence`` is None while sidecars answer who asks for a permit;
    ``unlinked_ms`` is when the last link to a sidecar was lost.

    ``origins`` has the streams that callers may take up again, as far as this
    gateway knows them. ``streams_told`` has, by stream, the sidecars that keep
    its origin, each with its incarnation. ``keepers`` are the sidecars that
    can keep origins, None if they have to be looked up again, and
    ``streams_to_check`` are those whose keepers may have changed since they
    were told, the oldest first. ``histories`` has the
    software versions of each service; ``list_watched_since_ms`` is since when
    the list was read without a long gap.

    ``longest_runs`` has, by service, how long its longest run took lately;
    ``stop_by_ms`` is when the gateway ends, 0 unless it was told to stop.

    ``allowances`` has what this gateway may use of each workspace's quota,
    ``quota_uses_reported`` the usage last reported to the ``quota_books``.
    """

    options: _options.Options
    follower: following.Follower
    incarnation: str = ''
    started_ms: int = 0
    settled_ms: int = 0
    ask_record_ms: int = clock.NEVER_MS
    records_asked: int = 0
    known_revisions: _revisions.KnownRevisions = dataclasses.field(
        default_factory=_revisions.KnownRevisions
    )
    origins: resumption.Origins = dataclasses.field(
        default_factory=resumption.Origins
    )
    streams_told: dict[bytes, frozenset[tuple[str, str]]] = dataclasses.field(
        default_factory=dict
    )
    keepers: hash_ring.HashRing | None = None
    streams_to_check: list[bytes] = dataclasses.field(default_factory=list)
    histories: dict[str, resumption.VersionHistory] = dataclasses.field(
        default_factory=dict
    )
    histories_told_ms: int = clock.NEVER_MS
    list_watched_since_ms: int = clock.NEVER_MS
    allowances: dict[str, workspaces.Allowance] = dataclasses.field(
        default_factory=dict
    )
    quota_uses_reported: tuple[workspaces.GatewayUsage, ...] = ()
    quota_uses_reported_ms: int = clock.NEVER_MS
    quota_books: list[str] = dataclasses.field(default_factory=list)
    quota_books_reported_to: list[str] = dataclasses.field(
        default_factory=list
    )
    endpoints: dict[str, Endpoint] = dataclasses.field(default_factory=dict)
    sidecars: dict[str, Sidecar] = dataclasses.field(default_factory=dict)
    absent_sidecars: dict[str, Sidecar] = dataclasses.field(
        default_factory=dict
    )
    endpoint_by_peer: dict[str, str] = dataclasses.field(default_factory=dict)
    awaiting_adapter: dict[str, dict[str, None]] = dataclasses.field(
        default_factory=dict
    )
    model_loads: dict[str, dict[str, None]] = dataclasses.field(
        default_factory=dict
    )
    demand: policy.DecayedDemand = dataclasses.field(
        default_factory=lambda: policy.DecayedDemand(DEMAND_TIME_CONSTANT_MS)
    )
    relays: tuple[str, ...] = ()
    gateways: int = 1
    token_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    rate_limited: dict[str, None] = dataclasses.field(default_factory=dict)
    absent_notices: dict[str, StoredNotice] = dataclasses.field(
        default_factory=dict
    )
    doubtful_notices: dict[str, DoubtfulNotice] = dataclasses.field(
        default_factory=dict
    )
    peers: dict[str, events.Instance] = dataclasses.field(default_factory=dict)
    requests: dict[str, ActiveRequest] = dataclasses.field(
        default_factory=dict
    )
    attempts: dict[str, str] = dataclasses.field(default_factory=dict)
    partitions: dict[int, Partition] = dataclasses.field(default_factory=dict)
    appends: int = 0
    served_revision: int = 0
    callers: dict[str, Caller] = dataclasses.field(default_factory=dict)
    callers_swept_ms: int = 0
    adapter_in_flight: dict[messages.AdapterVersion | None, int] = (
        dataclasses.field(default_factory=dict)
    )
    suspects: quarantine.Suspects = dataclasses.field(init=False)
    successes: dict[str, int] = dataclasses.field(default_factory=dict)
    recorded_crashes_ms: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    crash_sources: dict[str, CrashSource] = dataclasses.field(
        default_factory=dict
    )
    unsettled: quarantine.UnsettledLosses = dataclasses.field(
        default_factory=lambda: quarantine.UnsettledLosses(CUT_OFF_TTL_MS)
    )
    life_checks: dict[str, int] = dataclasses.field(default_factory=dict)
    probes: dict[str, Probe] = dataclasses.field(default_factory=dict)
    part_runs: dict[str, PartRun] = dataclasses.field(default_factory=dict)
    part_proofs: dict[str, PartProof] = dataclasses.field(default_factory=dict)
    parts_cleared_ms: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    silence: Silence | None = None
    unlinked_ms: int = 0
    quarantine_offset: int = 0
    quarantine_read_at_ms: int = 0
    peer_links: dict[str, str] = dataclasses.field(default_factory=dict)
    peer_links_opening: set[str] = dataclasses.field(default_factory=set)
    peer_retry_at_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    peer_refusals: dict[str, int] = dataclasses.field(default_factory=dict)
    seed: float = 0.5
    retry_budgets: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    placement: _placement.Placement = dataclasses.field(
        default_factory=_placement.Placement
    )
    adapter_policy: policy.Policy = dataclasses.field(init=False)
    load_coordination: LoadCoordination = dataclasses.field(init=False)
    ticked_ms: int = 0
    instances_read_ms: int = clock.NEVER_MS
    listed_ms: int = clock.NEVER_MS
    longest_runs: dict[str, longest.LongestDuration] = dataclasses.field(
        default_factory=dict
    )
    stopping: bool = False
    stop_by_ms: int = 0
    exited: bool = False

    def __post_init__(self):
        self.suspects = quarantine.Suspects(self.options.suspicion)
        self.adapter_policy = policy.create_policy(self.options.policy)
        self.load_coordination = LoadCoordination(
            token_bucket.TokenBucket(
                self.options.loads_per_s, self.options.loads_burst
            ),
            self.options.load_interval_ms,
        )

    @property
    def has_required_data(self) -> bool:
        """Whether the gateway has the data it needs to serve callers."""
        if self.follower.current is None:
            return False
        if not self.options.needs_instances:
            return True
        return self.listed_ms != clock.NEVER_MS

    @property
    def linked_sidecars(self) -> tuple[str, ...]:
        """The sidecars of direct endpoints whose links are open, by peer."""
        return tuple(
            peer
            for peer, sidecar in self.sidecars.items()
            if sidecar.link is LinkPhase.OPEN
        )

    @property
    def revision(self) -> int:
        """Return the revision of the configuration in force, 0 for none."""
        current = self.follower.current
        return 0 if current is None else current.revision

    def behind_ms(self, at_ms: int) -> int | None:
        """Return how long a newer revision has been known; None if none is."""
        return self.known_revisions.behind_ms(self.revision, at_ms)

    def is_outdated(self, at_ms: int) -> bool:
        """Tell whether the configuration must not be used any longer."""
        behind_ms = self.behind_ms(at_ms)
        limit_ms = self.options.outdated_refuse_ms
        return behind_ms is not None and behind_ms >= limit_ms

    def list_age_ms(self, at_ms: int) -> int:
        """Return the age of the instance list, -1 without one."""
        if self.listed_ms == clock.NEVER_MS:
            return -1
        return at_ms - self.listed_ms

    def request_of(self, attempt_id: str) -> ActiveRequest | None:
        """Return the request whose current attempt this is, if any."""
        request_id = self.attempts.get(attempt_id)
        if request_id is None:
            return None
        return self.requests.get(request_id)
