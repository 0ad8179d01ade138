"""An engine's steps under a load of prompts, for tests of admissions."""

import dataclasses
import heapq
import random

from berylhollow import admission
from berylhollow import messages

READ_TOKENS_PER_MS = 22.1
STEP_MS = 6.8
REQUEST_STEP_MS = 0.04
CHUNK_TOKENS = 4096
EVENT_STEPS = 4
EVENT_GAP_MS = 400
LINK_MS = 3
MAX_RUNNING = 64
LONG_ANSWERS = 30
LONG_EVENTS = 43
SHORT_EVENTS = 5
# Log-normal with this median and spread, cut at the largest, has a mean of
# 2,370 tokens.
MEDIAN_LOG_TOKENS = 7.293
SPREAD = 1.3
MEAN_TOKENS = 2370
MAX_TOKENS = 6870
OBJECTIVE_MS = 1000
DEADLINE_MS = 4000
FULL_READ_TOKENS_PER_MS = CHUNK_TOKENS / (
    STEP_MS
    + REQUEST_STEP_MS * LONG_ANSWERS
    + CHUNK_TOKENS / READ_TOKENS_PER_MS
)


@dataclasses.dataclass(eq=False)
class Request:
    """A request; times are -1 before its grant and its first event."""

    request_id: str
    arrived_ms: float
    tokens: int
    events: int = SHORT_EVENTS
    workspace: str = ''
    unread: int = 0
    generated: int = 0
    granted_ms: float = -1
    begun_ms: float = -1
    last_event_ms: float = -1
    longest_gap_ms: float = 0


def arrivals(share, lasts_ms, seed, workspace=''):
    """Return groups of three with a share of what an engine reads."""
    rng = random.Random(f'{seed} {workspace}')
    groups_per_ms = share * FULL_READ_TOKENS_PER_MS / MEAN_TOKENS / 3
    requests = []
    at_ms = rng.expovariate(groups_per_ms)
    while at_ms < lasts_ms:
        for _ in range(3):
            size = int(rng.lognormvariate(MEDIAN_LOG_TOKENS, SPREAD))
            request_id = f'{workspace}-{len(requests)}'
            requests.append(
                Request(
                    request_id,
                    at_ms,
                    min(MAX_TOKENS, size),
                    workspace=workspace,
                )
            )
        at_ms += rng.expovariate(groups_per_ms)
    return requests


class Engine:
    """Runs an engine's steps, and the admissions of its sidecar.

    ``long_answers`` are those generated beside the requests, ``pace`` is a
    factor on the time of a step.
    """

    def __init__(self, pace=1.0):
        self.pace = pace
        self.admissions = admission.Admissions()
        self.calls = []
        self.numbers = 0
        self.sent = []
        self.running = []
        self.long_answers = []
        self.requests = {}

    def run(self, requests, lasts_ms):
        """Run for ``lasts_ms``; the requests show what came of them."""
        self.requests = {one.request_id: one for one in requests}
        for request in requests:
            self._call(request.arrived_ms + LINK_MS, self._want, request)
        for number in range(LONG_ANSWERS):
            self._add_long_answer(0.0, number)
        at_ms = 0.0
        while at_ms < lasts_ms:
            while self.calls and self.calls[0][0] <= at_ms:
                called_ms, _, call, request = heapq.heappop(self.calls)
                call(called_ms, request)
            self._grant(at_ms, self.admissions.advance(int(at_ms)))
            at_ms = self._step(at_ms)

    def _call(self, at_ms, call, request):
        self.numbers += 1
        heapq.heappush(self.calls, (at_ms, self.numbers, call, request))

    def _want(self, at_ms, request):
        left_ms = OBJECTIVE_MS - LINK_MS
        wanted = messages.AdmissionWanted(
            request.request_id,
            request.tokens,
            0,
            request.workspace,
            left_ms,
            EVENT_GAP_MS,
            EVENT_STEPS,
        )
        self._grant(at_ms, self.admissions.want('g', wanted, int(at_ms)))
        self._call(at_ms + DEADLINE_MS, self._give_up, request)

    def _give_up(self, at_ms, request):
        if request.granted_ms < 0:
            self._end(at_ms, request, begun=False)

    def _end(self, at_ms, request, begun=True):
        grants = self.admissions.end(
            'g', request.request_id, begun, int(at_ms)
        )
        self._grant(at_ms, grants)

    def _grant(self, at_ms, grants):
        for grant in grants:
            request = self.requests[grant.request_id]
            request.granted_ms = at_ms
            self._call(at_ms + 2 * LINK_MS, self._send, request)

    def _send(self, at_ms, request):
        request.unread = request.tokens
        self.sent.append(request)

    def _add_long_answer(self, at_ms, events=0):
        answer = Request('', at_ms, 0, LONG_EVENTS, last_event_ms=at_ms)
        answer.generated = events * EVENT_STEPS
        self.long_answers.append(answer)
        self.running.append(answer)

    def _step(self, at_ms):
        free = MAX_RUNNING - len(self.running)
        self.running += self.sent[:free]
        del self.sent[:free]
        left = CHUNK_TOKENS
        for request in self.running:
            read = min(left, request.unread)
            request.unread -= read
            left -= read
        step_ms = STEP_MS + REQUEST_STEP_MS * len(self.running)
        step_ms += (CHUNK_TOKENS - left) / READ_TOKENS_PER_MS
        at_ms += step_ms * self.pace
        for request in [one for one in self.running if not one.unread]:
            request.generated += 1
            if request.generated % EVENT_STEPS == 1:
                self._event(at_ms, request)
        return at_ms

    def _event(self, at_ms, request):
        if request.last_event_ms < 0:
            request.begun_ms = at_ms
            self._call(at_ms + 2 * LINK_MS, self._end, request)
        else:
            gap_ms = at_ms - request.last_event_ms
            request.longest_gap_ms = max(request.longest_gap_ms, gap_ms)
        request.last_event_ms = at_ms
        if request.generated > (request.events - 1) * EVENT_STEPS:
            self.running.remove(request)
            if request.events == LONG_EVENTS:
                self._add_long_answer(at_ms)
