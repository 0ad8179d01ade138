"""Watches over the processes of endpoints that write answers."""

import asyncio
import collections.abc
import functools
import logging

from berylhollow import clock
from berylhollow.liveness import _checks
from berylhollow.liveness import _process
from berylhollow import outgoing
from berylhollow.util import bounded

LOG = logging.getLogger(__name__)

PROOF_TIMEOUT_MS = 1500
"""Time limit for the proof at an answer's end. Callers abandon a stream that
pauses for 2 s."""

LATE_MS = 50
"""Time to read a proof that arrived while this process stood still."""


RETRY_MS = 200
"""Pause after a health check that failed."""

REFRESH_MS = 2000
"""Interval of checks that keep connections open while answers are running."""

MIN_REFRESH_MS = 100
SHORT_ANSWER_MS = 10
"""Time after which the first answer without a length gets a second connection
for checks, which shows whether the endpoint allows that many."""

PREPARE_INTERVAL_MS = 1000
"""Shortest time between two connections that are opened for requests, while
no answer has been without a length. Each is closed after some idle time."""

OPEN_MS = 20
"""How long a request that opens a connection waits for one for checks."""

KEEP_UNUSED_MS = 60_000
"""How long an unused connection is kept for the checks to come."""

MAX_WATCHES = 1000
KEPT_FOR_PROOF = 2
"""Kept connections of which one is likely to be left when a request ends."""

MAX_POOLED_CHECKS = 2
USED_AT_ONCE = 2
"""Connections for checks while answers run: one may close after its use."""

HEAD_WAIT_MS = 150
"""How long a request has waited for a head when it is tested whether the
endpoint serves several connections at once."""

SHARING_TEST_MS = _checks.CHECK_DEADLINE_MS + 200
MIN_WITHOUT_MS = 5000
MAX_WITHOUT_MS = 60_000
"""How long no connection is kept for checks after a test that failed. The time
doubles with each."""

LIMITED_MS = 10_000
"""How long an endpoint that reset a new connection is taken to be at its
limit. As long, requests may use the connections for checks."""


class Observation:
    """The proof for one answer, while it is being read.

    ``connection`` is the answer's own one, ``process`` the one that writes
    the answer, None if no connection to it is known.
    """

    def __init__(
        self,
        watch: 'Watch',
        connection: outgoing.Connection,
        process: _process.Process | None,
    ):
        self.watch = watch
        self.connection = connection
        self.process = process

    async def evidence(self) -> _process.Evidence:
        """Return the evidence after the answer's end."""
        finding = asyncio.ensure_future(self.watch.evidence_for(self))
        try:
            for timeout_ms in (PROOF_TIMEOUT_MS, LATE_MS):
                await asyncio.wait(
                    [finding], timeout=timeout_ms / clock.MS_PER_SECOND
                )
            return (
                finding.result()
                if finding.done()
                else _process.Evidence.UNANSWERED
            )
        finally:
            finding.cancel()

    def end(self) -> None:
        """Stop watching for the sake of this answer."""
        self.watch.end(self)


class Watch:
    """The health checks of one endpoint.

    ``process`` is the one that is listening there, as far as connections are
    open to it; ``spares`` are connections that were opened since its last
    check, ``wanted`` is how many should be open. ``has_unframed`` is set once
    an answer has had neither a length nor chunks. ``idle_ms`` is how long the
    endpoint keeps an unused connection open, as far as it is known.
    ``serves_several`` is set once the endpoint has answered on a connection
    while an older one was open; until then the older one may keep requests
    out, and none is kept before ``without_until`` after it seemed to.
    """

    def __init__(self, watches: 'Watches', target: _checks.Target):
        self.watches = watches
        self.target = target
        self.loop = asyncio.get_running_loop()
        self.process: _process.Process | None = None
        self.spares: list[outgoing.Connection] = []
        self.idle_ms: float | None = None
        self.observations: set[Observation] = set()
        self.wanted = 1
        self.has_unframed = False
        self.prepare_again = 0.0
        self.serves_several = False
        self.without_ms = MIN_WITHOUT_MS
        self.without_until = 0.0
        self.testing: asyncio.Task | None = None
        self.opening: asyncio.Task | None = None
        self.checking: asyncio.Task | None = None
        self.keeping: asyncio.Task | None = None

    async def send(
        self,
        call: collections.abc.Callable[
            [], collections.abc.Awaitable[outgoing.Response]
        ],
        is_pooled: bool = True,
    ) -> outgoing.Response:
        """Send a request by a call; return its response.

        A request ``is_pooled`` if it may use a connection that was open
        before. Raises what the call raises.
        """
        await self.prepare(is_pooled)
        if self.serves_several:
            return await call()
        test = self.loop.call_later(
            HEAD_WAIT_MS / clock.MS_PER_SECOND, self._begin_test
        )
        try:
            response = await call()
        finally:
            test.cancel()
        self._note_answer(response.protocol)
        return response

    async def prepare(self, is_pooled: bool = True) -> None:
        """Begin to open a connection before a request, if none would show.

        A short answer has ended before one that is opened later can be.
        """
        is_limited = self._is_limited
        if is_limited and is_pooled:
            self._hand_over()
        if self._is_open or is_limited or self._is_without:
            return
        connector = self.watches.pooled_session.connector
        kept = connector.kept_connections(self.target.url)
        now = self.loop.time()
        if self.opening is None and now >= self.prepare_again:
            interval_ms = (
                RETRY_MS if self.has_unframed else PREPARE_INTERVAL_MS
            )
            self.prepare_again = now + interval_ms / clock.MS_PER_SECOND
            if len(kept) < KEPT_FOR_PROOF:
                self.opening = asyncio.create_task(self._open())
                self.opening.add_done_callback(self._opened)
        if self.opening is not None:
            # So that it is older than the request's own connection.
            await asyncio.wait(
                [self.opening],
                timeout=0 if kept else OPEN_MS / clock.MS_PER_SECOND,
            )

    def begin(self, connection: outgoing.Connection) -> Observation:
        """Begin to watch for an answer whose head has just arrived."""
        process = self.process
        if process is not None and not process.got_request(connection):
            process = None
        observation = Observation(self, connection, process)
        self.observations.add(observation)
        if self.keeping is None:
            self.keeping = asyncio.create_task(self._keep())
        return observation

    def end(self, observation: Observation) -> None:
        """Stop watching for an answer."""
        self.has_unframed = True
        self.observations.discard(observation)
        if not self.observations and self.keeping is not None:
            self.keeping.cancel()
            self.keeping = None

    def stop(self) -> None:
        """Send no more checks."""
        for task in (self.opening, self.checking, self.keeping, self.testing):
            if task is not None:
                task.cancel()

    async def evidence_for(
        self, observation: Observation
    ) -> _process.Evidence:
        """Return what shows that the process has outlived an answer."""
        ended = self.loop.time()
        process = observation.process
        if process is not None and await self._answers(process, ended):
            return _process.Evidence.CHECKED
        if await self._answers_over_pool(observation):
            return _process.Evidence.POOLED
        if process is None:
            return _process.Evidence.NO_CONNECTION
        return _process.Evidence.CONNECTION_LOST

    async def listening_since(self) -> float | None:
        """Return since when the process that answers now has been up.

        It is asked over the connections that are open, by a health check that
        is sent after the call. None if it doesn't answer, or none is open.
        """
        now = self.loop.time()
        process = self.process
        if process is not None and self._is_open:
            since = min(x.opened for x in process.all_open)
            if await self._answers(process, now):
                return since
        session = self.watches.pooled_session
        kept = session.connector.kept_connections(self.target.url)
        unused = [x for x in kept if not x.has_unread]
        if not unused:
            return None
        oldest = min(unused, key=lambda x: x.opened)
        session.connector.prefer(self.target.url, oldest)
        try:
            checked = await self.watches.send(session, self.target)
        except outgoing.CallError:
            return None
        return oldest.opened if checked.connection is oldest else None

    @property
    def _is_limited(self) -> bool:
        """Whether the endpoint allows no further connection, as it seems.

        It reset a new one and left older ones open.
        """
        url = self.target.url
        pooled = self.watches.pooled_session.connector
        connectors = (pooled, self.watches.session.connector)
        resets = [
            reset
            for reset in (x.early_reset(url) for x in connectors)
            if reset is not None
        ]
        if not resets:
            return False
        last = max(resets)
        if self.loop.time() >= last + LIMITED_MS / clock.MS_PER_SECOND:
            return False
        known = [] if self.process is None else self.process.all_open
        return any(
            x.opened < last for x in (*known, *pooled.kept_connections(url))
        )

    @property
    def _is_without(self) -> bool:
        """Whether no connection is kept for checks for the time being."""
        return self.loop.time() < self.without_until

    def _note_answer(self, connection: outgoing.Connection) -> None:
        """Note whether the endpoint serves several connections at once.

        It accepts them in the order in which they were opened.
        """
        if self.process is not None and any(
            x.opened < connection.opened for x in self.process.open_connections
        ):
            self.serves_several = True

    def _begin_test(self) -> None:
        if self.testing is None and self._is_open:
            self.testing = asyncio.create_task(self._test_sharing())
            self.testing.add_done_callback(self._test_ended)

    def _test_ended(self, _testing: asyncio.Task) -> None:
        self.testing = None

    async def _test_sharing(self) -> None:
        """Close the connections for checks if they keep requests out.

        An endpoint that serves one connection after the other waits for the
        end of the one for checks. One that serves several answers a check on
        another one meanwhile.
        """
        session = self.watches.session
        try:
            newest = await session.connector.open_kept(self.target.url)
        except outgoing.CallError:
            return
        session.connector.prefer(self.target.url, newest)
        check = asyncio.create_task(self.watches.send(session, self.target))
        check.add_done_callback(functools.partial(_finish, newest))
        await asyncio.wait(
            [check], timeout=SHARING_TEST_MS / clock.MS_PER_SECOND
        )
        if check.done():
            if not check.cancelled() and check.exception() is None:
                self._note_answer(check.result().connection)
            return
        if self.serves_several:
            return
        self.without_until = (
            self.loop.time() + self.without_ms / clock.MS_PER_SECOND
        )
        LOG.info(
            'no connection is kept for checks, requests wait behind it',
            extra={
                'endpoint': self.target.instance or self.target.url,
                'without_ms': self.without_ms,
            },
        )
        self.without_ms = min(2 * self.without_ms, MAX_WITHOUT_MS)
        for connection in (*self.process.open_connections, *self.spares):
            connection.finish()

    def _hand_over(self) -> None:
        """Let a request that finds no connection use one of those for checks.

        It would be reset on a new one.
        """
        url = self.target.url
        pooled = self.watches.pooled_session.connector
        if self.process is None or pooled.kept_connections(url):
            return
        connector = self.watches.session.connector
        kept = connector.kept_connections(url)
        unused = [
            x
            for x in self.process.open_connections
            if x in kept and not x.has_unread
        ]
        if unused:
            # The others are older, so that they prove the answer's end.
            newest = max(unused, key=lambda x: x.opened)
            connector.hand_over(url, newest, pooled)

    @property
    def _is_open(self) -> bool:
        return self.process is not None and bool(self.process.open_connections)

    async def _answers(self, process: _process.Process, ended: float) -> bool:
        """Tell whether a process answers a check sent after a time.

        One check serves all the answers that ended before it was sent.
        """
        while process.shown is None or process.shown < ended:
            if process is not self.process or not self._is_open:
                return False
            if not await self._check():
                return False
        return True

    async def _answers_over_pool(self, observation: Observation) -> bool:
        """Tell whether a kept connection shows that the process lives.

        It leads to the process that has written the answer if that answered
        on it before the request was sent, or if it was one for checks.
        """
        session = self.watches.pooled_session
        asked = observation.connection.asked
        process = observation.process
        known = [] if process is None else process.connections
        for _ in range(MAX_POOLED_CHECKS):
            kept = session.connector.kept_connections(self.target.url)
            for connection in kept:
                if connection.has_unread:
                    connection.close()
            proving = [
                x
                for x in kept
                if x.is_connected()
                and (x in known or _process.answered_before(x, asked))
            ]
            if not proving:
                return False
            session.connector.prefer(self.target.url, proving[0])
            try:
                checked = await self.watches.send(session, self.target)
            except outgoing.CallError:
                continue
            if checked.connection in proving:
                return True
        return False

    async def _keep(self) -> None:
        """Have open connections while answers are running.

        Most have ended before the first check.
        """
        if self._is_open:
            pause_ms = MIN_REFRESH_MS if self.has_unframed else SHORT_ANSWER_MS
            await asyncio.sleep(pause_ms / clock.MS_PER_SECOND)
        self.wanted = USED_AT_ONCE
        while True:
            if not await self._check() or await self._has_lost_connection():
                await asyncio.sleep(RETRY_MS / clock.MS_PER_SECOND)

    async def _has_lost_connection(self) -> bool:
        """Wait until a connection is to be used again, or one is lost."""
        refresh_ms = REFRESH_MS
        if self.idle_ms is not None:
            refresh_ms = min(refresh_ms, self.idle_ms / (2 * USED_AT_ONCE))
        connections = [*self.process.open_connections, *self.spares]
        closed = {x: x.closed for x in connections}
        if None not in closed.values():
            await asyncio.wait(
                closed.values(),
                timeout=max(MIN_REFRESH_MS, refresh_ms) / clock.MS_PER_SECOND,
                return_when=asyncio.FIRST_COMPLETED,
            )
        lost = [x for x in connections if not x.is_connected()]
        for connection in lost:
            self._note_idle_time(connection)
        return bool(lost)

    def _note_idle_time(self, connection: outgoing.Connection) -> None:
        """Note how long an endpoint kept a connection open without a request.

        One that was closed sooner than checks could follow was not idle.
        """
        used = max(connection.opened, connection.asked)
        unused_ms = (self.loop.time() - used) * clock.MS_PER_SECOND
        if unused_ms >= 2 * MIN_REFRESH_MS:
            self.idle_ms = unused_ms

    async def _open(self) -> None:
        """Open a connection for checks, beside those that are open."""
        connector = self.watches.session.connector
        try:
            connection = await connector.open_kept(self.target.url)
        except outgoing.CallError as error:
            LOG.debug('no connection for health checks: %s', error)
            self.prepare_again = 0.0
            return
        if self._is_open:
            self.spares.append(connection)
        else:
            self.process = _process.Process(connection)
            self.spares.clear()

    def _opened(self, opening: asyncio.Task) -> None:
        self.opening = None
        if self.has_unframed and not opening.cancelled():
            # Requests on connections older than this one need its answer.
            self._begin_check()

    async def _check(self) -> bool:
        """Await the check that is under way, or one more if there is none.

        It goes on if an answer that waits for it is cancelled.
        """
        return await asyncio.shield(self._begin_check())

    def _begin_check(self) -> asyncio.Task:
        # One that has ended may still be here: its callbacks run later.
        if self.checking is None or self.checking.done():
            self.checking = asyncio.create_task(self._send_check())
            self.checking.add_done_callback(self._check_ended)
        return self.checking

    def _check_ended(self, checking: asyncio.Task) -> None:
        if self.checking is checking:
            self.checking = None

    async def _send_check(self) -> bool:
        """Send a check; return whether the process answered it."""
        if self.opening is not None:
            await asyncio.wait([self.opening])
        self._drop_unusable()
        opened = len(self.spares)
        if self.process is not None:
            opened += len(self.process.open_connections)
        if self.has_unframed or len(self.observations) > 1:
            self.wanted = USED_AT_ONCE
        if not (self._is_limited or self._is_without):
            for _ in range(opened, self.wanted):
                await self._open()
        if not self._is_open:
            return False
        process = self.process
        connection = process.open_connections[0]
        session = self.watches.session
        session.connector.prefer(self.target.url, connection)
        sent = self.loop.time()
        try:
            checked = await self.watches.send(session, self.target)
        except outgoing.CallError as error:
            LOG.debug('health check failed: %s', error)
            return False
        if checked.connection is not connection:
            return False
        if checked.keep_open_ms is not None:
            self.idle_ms = checked.keep_open_ms
        process.shown = sent
        self.prepare_again = 0.0
        # The one that has not been used for longest is used next.
        process.connections.remove(connection)
        process.connections += [
            *(x for x in self.spares if x.opened <= sent),
            connection,
        ]
        self.spares = [x for x in self.spares if x.opened > sent]
        return True

    def _drop_unusable(self) -> None:
        """Close connections with bytes that no check has asked for."""
        known = []
        if self.process is not None:
            known = self.process.open_connections
        for connection in (*known, *self.spares):
            if connection.is_connected() and connection.has_unread:
                connection.close()
        self.spares = [x for x in self.spares if x.is_connected()]
        if self.process is not None:
            self.process.connections = self.process.all_open


class Watches:
    """The watches of all endpoints.

    Checks are sent over a session of their own, so that their connections
    stay free. ``pooled_session`` is one for requests, whose kept connections
    serve as well.
    """

    def __init__(self, send: _checks.Sender, pooled_session):
        self.send = send
        self.pooled_session = pooled_session
        self.session = outgoing.open_session(keep_unused_ms=KEEP_UNUSED_MS)
        self.by_endpoint: dict[tuple[str, str], Watch] = {}

    def watch(self, target: _checks.Target) -> Watch:
        """Return the watch of an endpoint, which checks this path now."""
        endpoint = (target.url, target.instance)
        watch = self.by_endpoint.pop(endpoint, None) or Watch(self, target)
        watch.target = target
        self.by_endpoint[endpoint] = watch
        bounded.drop_oldest(self.by_endpoint, MAX_WATCHES)
        return watch

    async def close(self) -> None:
        """Close the connections of the checks."""
        for watch in self.by_endpoint.values():
            watch.stop()
        await self.session.close()


def _finish(connection: outgoing.Connection, check: asyncio.Task) -> None:
    """Close the connection of a check that has ended."""
    if not check.cancelled():
        check.exception()
    connection.finish()
