"""Play a trace against running gateways over HTTP, at the trace's times."""

import asyncio
import collections
import collections.abc
import dataclasses
import itertools
import secrets

import aiohttp

from berylhollow import clock as clocks
from berylhollow import outgoing
from berylhollow.replay import _live_calls
from berylhollow.replay import _statistics
from berylhollow.replay import _trace
from berylhollow.util import exits

MOST_ITEMS = 200_000
LONGEST_MS = 6 * 60 * 60 * 1000
ANSWER_GRACE_MS = 5000
"""How long after its deadline an answer is waited for."""

MS_PER_SECOND = 1000
RUN_ID_BYTES = 4

Verdict = _live_calls.Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class LiveOptions:
    """How to play.

    ``gateways`` are called by turns. ``fault_urls`` says where a fault of
    the trace is switched on, by the name of its target.
    """

    gateways: tuple[str, ...]
    speed: float = 1.0
    most_open: int = 512
    fault_urls: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Outcome:
    """What became of one request; durations are None without an answer."""

    service: str
    deadline_ms: int
    judgement: _live_calls.Judgement
    first_byte_ms: int | None = None
    response_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class LiveService:
    """What became of the requests to one service.

    ``errors`` counts by kind, ``ran`` what those errors said of whether the
    request ran. The distributions are of whole answers.
    """

    service: str
    requests: int
    verdicts: dict[str, int]
    on_time: int
    errors: dict[str, int]
    ran: dict[str, int]
    first_byte: _statistics.Distribution
    response: _statistics.Distribution


@dataclasses.dataclass(frozen=True)
class LiveResult:
    """A whole live replay.

    ``latest_start_ms`` is how far the tool itself fell behind the trace:
    figures of a run in which that is large say more of the tool.
    """

    services: tuple[LiveService, ...]
    findings: int
    faults_begun: int
    faults_skipped: int
    latest_start_ms: int


class LiveReplay:
    """Plays one trace; each request is sent once and never again."""

    def __init__(
        self,
        items: collections.abc.Sequence[_trace.TraceItem],
        options: LiveOptions,
        clock: clocks.Clock | None = None,
    ):
        _check(items, options)
        self.items = items
        self.options = options
        self.clock = clock or clocks.MonotonicClock()
        self.run_id = secrets.token_hex(RUN_ID_BYTES)
        self.gateways = itertools.cycle(options.gateways)
        self.outcomes: list[Outcome] = []
        self.open: set[asyncio.Task] = set()
        self.runs: dict[str, str] = {}
        self.faults_begun = 0
        self.faults_skipped = 0
        self.latest_start_ms = 0

    async def run(self) -> LiveResult:
        """Play to the end, wait for the answers, and count."""
        session = outgoing.open_session()
        try:
            await self._play(session)
            while self.open:
                await asyncio.wait(self.open)
        finally:
            for task in self.open:
                task.cancel()
            await session.close()
        return self._result()

    async def _play(self, session: aiohttp.ClientSession) -> None:
        began_ms = self.clock.now_ms()
        for number, item in enumerate(self.items):
            due_ms = began_ms + item.at_ms / self.options.speed
            early_ms = due_ms - self.clock.now_ms()
            if early_ms > 0:
                await asyncio.sleep(early_ms / MS_PER_SECOND)
            late_ms = int(self.clock.now_ms() - due_ms)
            self.latest_start_ms = max(self.latest_start_ms, late_ms)
            if isinstance(item, _trace.TraceFault):
                self._start(self._begin_fault(session, item))
            elif len(self.open) >= self.options.most_open:
                self._note(item, _live_calls.Judgement(Verdict.NOT_SENT))
            else:
                call = _live_calls.make(item, number, self.run_id)
                self._start(self._answer(session, call))

    def _start(self, work: collections.abc.Coroutine) -> None:
        task = asyncio.create_task(work)
        self.open.add(task)
        task.add_done_callback(self.open.discard)

    async def _begin_fault(
        self, session: aiohttp.ClientSession, fault: _trace.TraceFault
    ) -> None:
        url = self.options.fault_urls.get(fault.target)
        if url is None:
            self.faults_skipped += 1
            return
        value: dict[str, object] = {'fault': fault.fault}
        if fault.for_ms:
            value['for_ms'] = int(fault.for_ms / self.options.speed)
        try:
            await outgoing.call(session, 'POST', f'{url}/faults', json=value)
            self.faults_begun += 1
        except outgoing.CallError:
            self.faults_skipped += 1

    async def _answer(
        self, session: aiohttp.ClientSession, call: _live_calls.Call
    ) -> None:
        sent_ms = self.clock.now_ms()
        received, first_ms = await self._send(session, call)
        judgement = self._once(call, _live_calls.judge(call, received))
        outcome = self._note(call.item, judgement)
        if judgement.verdict is Verdict.WHOLE:
            outcome.response_ms = self.clock.now_ms() - sent_ms
            outcome.first_byte_ms = first_ms - sent_ms

    async def _send(
        self, session: aiohttp.ClientSession, call: _live_calls.Call
    ) -> tuple[_live_calls.Received, int]:
        """Return the answer and when its body began."""
        url = next(self.gateways) + call.path
        status = 0
        body = bytearray()
        first_ms = 0
        limit_ms = call.item.deadline_ms + ANSWER_GRACE_MS
        error = ''
        try:
            async with asyncio.timeout(limit_ms / MS_PER_SECOND):
                response = await outgoing.open_call(
                    session, 'POST', url, data=call.body, headers=call.headers
                )
                async with response:
                    status = response.status
                    async for part in response.content.iter_any():
                        first_ms = first_ms or self.clock.now_ms()
                        body += part
        except TimeoutError:
            error = _live_calls.NO_ANSWER
        except outgoing.CallNotSent:
            error = _live_calls.NOT_CONNECTED
        except (outgoing.CallError, aiohttp.ClientError, OSError):
            error = _live_calls.CONNECTION_BROKEN
        received = _live_calls.Received(status, bytes(body), not error, error)
        return received, first_ms or self.clock.now_ms()

    def _once(
        self, call: _live_calls.Call, judgement: _live_calls.Judgement
    ) -> _live_calls.Judgement:
        """Guard against a key whose two answers come from two runs.

        The endpoint's answer names its run. A kept answer that is given
        again names the same one, so another name is a second run.
        """
        key = call.item.key
        if key is None or judgement.verdict is not Verdict.WHOLE:
            return judgement
        known = self.runs.setdefault(key, judgement.run)
        if known == judgement.run:
            return judgement
        return _live_calls.Judgement(Verdict.DOUBLED, run=judgement.run)

    def _note(
        self, item: _trace.TraceRequest, judgement: _live_calls.Judgement
    ) -> Outcome:
        outcome = Outcome(item.service, item.deadline_ms, judgement)
        self.outcomes.append(outcome)
        return outcome

    def _result(self) -> LiveResult:
        by_service = collections.defaultdict(list)
        for outcome in self.outcomes:
            by_service[outcome.service].append(outcome)
        found = [
            outcome
            for outcome in self.outcomes
            if outcome.judgement.verdict in _live_calls.FINDINGS
        ]
        return LiveResult(
            tuple(
                _service(name, outcomes)
                for name, outcomes in sorted(by_service.items())
            ),
            len(found),
            self.faults_begun,
            self.faults_skipped,
            self.latest_start_ms,
        )


def _service(name: str, outcomes: list[Outcome]) -> LiveService:
    judgements = [outcome.judgement for outcome in outcomes]
    failed = [item for item in judgements if item.verdict is Verdict.ERROR]
    whole = [item for item in outcomes if item.response_ms is not None]
    return LiveService(
        name,
        len(outcomes),
        dict(collections.Counter(item.verdict.value for item in judgements)),
        sum(item.response_ms <= item.deadline_ms for item in whole),
        dict(collections.Counter(item.kind for item in failed)),
        dict(collections.Counter(item.ran for item in failed)),
        _statistics.distribution(item.first_byte_ms for item in whole),
        _statistics.distribution(item.response_ms for item in whole),
    )


def _check(
    items: collections.abc.Sequence[_trace.TraceItem], options: LiveOptions
) -> None:
    """Raise ``UserError`` for a replay that would not stay bounded."""
    if len(items) > MOST_ITEMS:
        raise exits.UserError(
            f'the trace has {len(items)} items, more than {MOST_ITEMS}',
            exits.ExitCode.INVALID,
        )
    if options.speed <= 0 or options.most_open < 1:
        raise exits.UserError(
            'speed and the limit of open requests must be above 0',
            exits.ExitCode.INVALID,
        )
    if items and items[-1].at_ms / options.speed > LONGEST_MS:
        raise exits.UserError(
            f'the replay would take more than {LONGEST_MS} ms',
            exits.ExitCode.INVALID,
        )
