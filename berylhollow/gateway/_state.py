"""What a gateway knows: endpoints, and the requests in flight."""

import dataclasses
import enum

from berylhollow import events
from berylhollow import following
from berylhollow.gateway import _options
from berylhollow import messages


class LinkPhase(enum.Enum):
    """How far a link to a peer is."""

    CLOSED = 'closed'
    OPENING = 'opening'
    OPEN = 'open'


@dataclasses.dataclass(slots=True)
class Endpoint:
    """One endpoint's sidecar, from the instance list and from its reports.

    ``placed`` is our own record of the attempts that we have in flight
    there; it is exact where a report lags.
    """

    instance: events.Instance
    link: LinkPhase = LinkPhase.CLOSED
    incarnation: str = ''
    report: messages.Report | None = None
    report_at_ms: int = 0
    leaving: bool = False
    retry_link_at_ms: int = 0
    placed: set[str] = dataclasses.field(default_factory=set)

    @property
    def usable(self) -> bool:
        return self.link is LinkPhase.OPEN and not self.leaving


class Phase(enum.Enum):
    """How far a request is.

    WAITING has no attempt at an endpoint, OFFERED one that has not begun to
    answer, RELAYING one whose answer is on its way to the caller.
    """

    WAITING = 'waiting'
    OFFERED = 'offered'
    RELAYING = 'relaying'


@dataclasses.dataclass(slots=True)
class ActiveRequest:
    """A request whose caller has not had its whole answer."""

    request: events.Request
    arrived_ms: int
    deadline_ms: int
    seed: float
    phase: Phase = Phase.WAITING
    attempt_id: str = ''
    endpoint: str = ''
    incarnation: str = ''
    attempts: int = 0
    resume_by_ms: int | None = None
    tried: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False


@dataclasses.dataclass(slots=True)
class State:
    """Everything that a gateway's reducer remembers."""

    options: _options.Options
    follower: following.Follower
    incarnation: str = ''
    endpoints: dict[str, Endpoint] = dataclasses.field(default_factory=dict)
    peers: dict[str, events.Instance] = dataclasses.field(default_factory=dict)
    requests: dict[str, ActiveRequest] = dataclasses.field(
        default_factory=dict
    )
    attempts: dict[str, str] = dataclasses.field(default_factory=dict)
    instances_read_ms: int = -1_000_000
    stopping: bool = False
    stop_by_ms: int = 0
    exited: bool = False

    def request_of(self, attempt_id: str) -> ActiveRequest | None:
        """Return the request whose current attempt this is, if any."""
        request_id = self.attempts.get(attempt_id)
        if request_id is None:
            return None
        return self.requests.get(request_id)
