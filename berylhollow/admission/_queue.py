"""The order of the requests that wait for an endpoint to read them."""

import collections.abc
import dataclasses
import heapq

PRIORITY_STEP_MS = 150
"""How much later the deadline of a request is for each step of priority."""

LATE_GRANT_PERIOD = 8
"""At least one in so many grants goes to the oldest late request."""

LATE_GRANT_SHARE = 1 / (LATE_GRANT_PERIOD - 1)
"""Grants of late requests for each of the others, while there are any."""

MAX_REKEYS = 16
"""Workspaces whose place is corrected for one choice; limits its cost."""

MIN_COMPACTION = 64
"""A heap with fewer removed entries is not rebuilt."""

ExcessMs = collections.abc.Callable[[str, int], float]
"""Returns what a workspace got beyond its share, in ms, at a time."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKey:
    """Identifies a request; ids are unique for each gateway."""

    gateway: str
    request_id: str


@dataclasses.dataclass(eq=False, slots=True)
class WaitingRequest:
    """A request in the queue.

    ``deadline_ms`` is the end of its objective with the addition for its
    priority. From ``late_ms`` on it can't begin within its objective.
    ``number`` counts requests by arrival.
    """

    key: RequestKey
    tokens: int
    workspace: str
    deadline_ms: int
    late_ms: int
    arrived_ms: int
    number: int
    is_waiting: bool = True
    is_late: bool = False


class _RequestHeap:
    """A heap of requests from which others than the first may be removed.

    Removed entries are dropped when they come first, or when they are more
    than half of the heap.
    """

    def __init__(
        self, is_valid: collections.abc.Callable[[WaitingRequest], bool]
    ):
        self.is_valid = is_valid
        self.entries: list[tuple[float, int, int, WaitingRequest]] = []
        self.live = 0
        self.pushes = 0

    def push(self, key: float, request: WaitingRequest) -> None:
        # A request that replaces another one has its key and its number.
        self.pushes += 1
        entry = (key, request.number, self.pushes, request)
        heapq.heappush(self.entries, entry)
        self.live += 1

    def first(self) -> WaitingRequest | None:
        entries = self.entries
        while entries and not self.is_valid(entries[0][-1]):
            heapq.heappop(entries)
        return entries[0][-1] if entries else None

    def note_removed(self) -> None:
        """Note that an entry has become invalid."""
        self.live -= 1
        if len(self.entries) > 2 * self.live + MIN_COMPACTION:
            self.entries = [e for e in self.entries if self.is_valid(e[-1])]
            heapq.heapify(self.entries)


def _is_waiting(request: WaitingRequest) -> bool:
    return request.is_waiting


def _is_timely(request: WaitingRequest) -> bool:
    return request.is_waiting and not request.is_late


@dataclasses.dataclass(slots=True)
class _Lane:
    """The requests of one workspace that can be in time.

    ``place`` is its current key in the queue's heap of workspaces.
    """

    requests: _RequestHeap
    place: float = 0.0


class AdmissionQueue:
    """Orders waiting requests by deadline, share and age.

    Those that can still begin within their objective go before the others,
    ordered by the deadline plus the excess of their workspace. The others are
    ordered by age, and each ``LATE_GRANT_PERIOD``-th grant goes to them. A
    workspace's place is corrected when it comes first and its excess has
    grown, or when it gets a new request, so that no choice visits all.
    """

    def __init__(self, excess_ms: ExcessMs):
        self.excess_ms = excess_ms
        self.requests: dict[RequestKey, WaitingRequest] = {}
        self.lanes: dict[str, _Lane] = {}
        self.places: list[tuple[float, int, str]] = []
        self.expiries = _RequestHeap(_is_timely)
        self.late = _RequestHeap(_is_waiting)
        self.timely_tokens = 0
        self.late_tokens = 0
        self.grants_since_late = 0
        self.numbers = 0

    def __len__(self) -> int:
        return len(self.requests)

    def add(
        self,
        key: RequestKey,
        tokens: int,
        workspace: str,
        objective_ms: int,
        reading_ms: float,
        priority: int,
        at_ms: int,
    ) -> WaitingRequest:
        """Add a request, or replace it with its age kept.

        ``objective_ms`` is the time left for its first event, of which
        ``reading_ms`` are needed after the grant.
        """
        before = self.remove(key)
        number = self.numbers if before is None else before.number
        self.numbers += before is None
        end_ms = at_ms + objective_ms
        request = WaitingRequest(
            key,
            tokens,
            workspace,
            end_ms + PRIORITY_STEP_MS * max(0, priority),
            end_ms - int(reading_ms),
            at_ms if before is None else before.arrived_ms,
            number,
        )
        self.requests[key] = request
        if at_ms > request.late_ms:
            self._add_late(request)
            return request
        self.timely_tokens += tokens
        self.expiries.push(request.late_ms, request)
        lane = self.lanes.get(workspace)
        if lane is None:
            lane = self.lanes[workspace] = _Lane(_RequestHeap(_is_timely))
        lane.requests.push(request.deadline_ms, request)
        self._place(workspace, lane, at_ms)
        return request

    def remove(self, key: RequestKey) -> WaitingRequest | None:
        """Remove a request that was granted or no longer waits."""
        request = self.requests.pop(key, None)
        if request is None:
            return None
        request.is_waiting = False
        if request.is_late:
            self.late_tokens -= request.tokens
            self.late.note_removed()
        else:
            self._leave_lane(request)
        return request

    def take(self, request: WaitingRequest) -> None:
        """Remove a request that is granted."""
        self.remove(request.key)
        self.grants_since_late += 1
        if request.is_late or not self.late.live:
            self.grants_since_late = 0

    def first(self, at_ms: int, begin_ms: int) -> WaitingRequest | None:
        """Return the request that is to be granted next, None without one.

        Its reading would begin at ``begin_ms``, after what was granted before.
        """
        self._separate_late(begin_ms)
        late = self.late.first()
        if late and self.grants_since_late >= LATE_GRANT_PERIOD - 1:
            return late
        return self._first_timely(at_ms) or late

    def _first_timely(self, at_ms: int) -> WaitingRequest | None:
        rekeys = 0
        while self.places:
            place, _, workspace = self.places[0]
            lane = self.lanes.get(workspace)
            if lane is None or lane.place != place:
                heapq.heappop(self.places)
                continue
            first = lane.requests.first()
            current = first.deadline_ms + self.excess_ms(workspace, at_ms)
            if current <= place or rekeys >= MAX_REKEYS:
                return first
            rekeys += 1
            heapq.heappop(self.places)
            self._push_place(workspace, lane, current, first.number)
        return None

    def _place(self, workspace: str, lane: _Lane, at_ms: int) -> None:
        first = lane.requests.first()
        place = first.deadline_ms + self.excess_ms(workspace, at_ms)
        self._push_place(workspace, lane, place, first.number)

    def _push_place(
        self, workspace: str, lane: _Lane, place: float, number: int
    ) -> None:
        lane.place = place
        heapq.heappush(self.places, (place, number, workspace))
        if len(self.places) > 2 * len(self.lanes) + MIN_COMPACTION:
            self.places = [
                entry
                for entry in self.places
                if entry[2] in self.lanes
                and self.lanes[entry[2]].place == entry[0]
            ]
            heapq.heapify(self.places)

    def _leave_lane(self, request: WaitingRequest) -> None:
        """Take a request out of its lane, which it must be marked for."""
        self.timely_tokens -= request.tokens
        self.expiries.note_removed()
        lane = self.lanes[request.workspace]
        lane.requests.note_removed()
        if not lane.requests.live:
            del self.lanes[request.workspace]

    def _separate_late(self, begin_ms: int) -> None:
        """Move requests that can't be in time any more behind the others."""
        while request := self.expiries.first():
            if begin_ms <= request.late_ms:
                break
            request.is_late = True
            self._leave_lane(request)
            self._add_late(request)

    def _add_late(self, request: WaitingRequest) -> None:
        request.is_late = True
        self.late_tokens += request.tokens
        self.late.push(request.arrived_ms, request)
