"""Tells whether the process that wrote an answer has outlived it.

An endpoint that crashes ends its answers without a length as one does that
has finished them. Its address shows nothing: a next start may listen there at
once. An open connection leads to the same process as before. So a process has
outlived its answer if it answers a health check that was sent after the
answer's end, over a connection that led to it before that end.
Design: ``docs/design/0026-ends-of-answers.md``.
"""

import asyncio
import dataclasses
import enum
import logging
import typing

from berylhollow import outgoing
from berylhollow.util import bounded

LOG = logging.getLogger(__name__)

MS_PER_SECOND = 1000
CHECK_TIMEOUT_MS = 1000
"""Time limit for the proof at an answer's end. Callers abandon a stream that
pauses for 2 s."""

CHECK_DEADLINE_MS = 400
"""Deadline that a check tells the endpoint, which may queue it. An endpoint
that refuses it has answered, too."""

MAX_CHECK_BYTES = 1024 * 1024
CLOSE_SPREAD_MS = 300
"""The connections of a process that ends are all closed within this time, if
one packet is lost: TCP sends it again after 200 ms."""

RETRY_MS = 200
"""Pause after a health check that failed."""

REFRESH_MS = 4000
"""Interval of checks that keep a connection open while answers are running."""

MIN_REFRESH_MS = 100
PREPARE_INTERVAL_MS = 1000
"""Shortest time between two connections that are opened for requests. An
endpoint resets those beyond its limit."""

KEEP_UNUSED_MS = 60_000
"""How long an unused connection is kept for the checks to come."""

MAX_WATCHES = 1000
KEPT_FOR_PROOF = 2
"""Kept connections of which one is likely to be left when a request ends."""

MAX_POOLED_CHECKS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The endpoint that a health check is for, and the path it is sent to.

    ``instance`` is its name in the platform's list, empty if it has none.
    """

    url: str
    instance: str
    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class Checked:
    """The answer to a health check.

    ``connection`` is the one that it came over, ``closes`` is set if the
    endpoint closes it, ``keep_open_ms`` is how long the endpoint keeps it open
    without a request, None if it doesn't say.
    """

    connection: outgoing.Connection
    closes: bool = False
    keep_open_ms: int | None = None


class Sender(typing.Protocol):
    """Sends a health check, in the endpoint's protocol."""

    async def __call__(self, session, target: Target) -> Checked:
        """Return the endpoint's answer, whatever its status.

        Raises ``outgoing.CallError`` if it doesn't answer, or if another
        endpoint does.
        """


class Evidence(enum.Enum):
    """What shows, or fails to show, that a process has outlived its answer."""

    CHECKED = 'answered a check'
    POOLED = 'answered a check over a kept connection'
    UNKNOWN_BEFORE = 'no connection on which it answered before the end'
    CONNECTION_LOST = 'the connection to it was lost'
    UNANSWERED = 'did not answer a check'

    @property
    def is_proof(self) -> bool:
        """Whether the process has outlived its answer."""
        return self in (Evidence.CHECKED, Evidence.POOLED)


class Observation:
    """The proof for one answer, while it is being read.

    ``connection`` is the answer's own one. ``proven`` is a connection that
    leads to the process that writes the answer, None if there is none yet.
    """

    def __init__(self, watch: 'Watch', connection: outgoing.Connection):
        self.watch = watch
        self.connection = connection
        self.proven: outgoing.Connection | None = None

    @property
    def is_running(self) -> bool:
        """Whether the answer's process is known to be still writing it.

        The end of a connection whose reading was paused may not have arrived.
        """
        return not (
            self.connection.was_paused or self.connection.has_received_end
        )

    async def evidence(self) -> Evidence:
        """Return the evidence after the answer's end."""
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_MS / MS_PER_SECOND):
                return await self.watch.evidence_for(self)
        except TimeoutError:
            return Evidence.UNANSWERED

    def end(self) -> None:
        """Stop watching for the sake of this answer."""
        self.watch.end(self)


class Watch:
    """The health checks of one endpoint, over one connection at a time.

    ``connection`` is kept in the pool of the checks. ``shown`` is the one of
    the last successful check, and when that was sent. ``idle_ms`` is how long
    the endpoint keeps an unused connection open, as far as it is known.
    """

    def __init__(self, watches: 'Watches', target: Target):
        self.watches = watches
        self.target = target
        self.loop = asyncio.get_running_loop()
        self.connection: outgoing.Connection | None = None
        self.shown: tuple[outgoing.Connection, float] | None = None
        self.idle_ms: float | None = None
        self.checking: asyncio.Task | None = None
        self.observations: set[Observation] = set()
        self.unproven = asyncio.Event()
        self.opening: asyncio.Task | None = None
        self.prepare_again = 0.0
        self.keeping: asyncio.Task | None = None

    def prepare(self) -> None:
        """Open a connection before a request is sent, if none would show.

        A short answer has ended before one that is opened later can be.
        """
        if self._is_open or self.opening or self.checking:
            return
        now = self.loop.time()
        if now < self.prepare_again:
            return
        self.prepare_again = now + PREPARE_INTERVAL_MS / MS_PER_SECOND
        connector = self.watches.pooled_session.connector
        kept = connector.kept_connections(self.target.url)
        if len(kept) < KEPT_FOR_PROOF:
            self.opening = asyncio.create_task(self._open())

    def begin(self, connection: outgoing.Connection) -> Observation:
        """Begin to watch for an answer whose head has just arrived.

        A connection that was open before the answer's own one leads to the
        process that got the request. One that is newer than a reused one may
        still wait to be accepted, by a next start with the same listening
        socket, unless it has been answered on.
        """
        observation = Observation(self, connection)
        self.observations.add(observation)
        is_reused = _answered_before(connection, connection.asked)
        before = connection.opened if is_reused else connection.asked
        if self._is_open and (
            self.connection.opened <= before
            or _answered_before(self.connection, connection.asked)
        ):
            observation.proven = self.connection
        else:
            self.unproven.set()
        if self.keeping is None:
            self.keeping = asyncio.create_task(self._keep())
        return observation

    def end(self, observation: Observation) -> None:
        """Stop watching for an answer."""
        self.observations.discard(observation)
        if not self.observations and self.keeping is not None:
            self.keeping.cancel()
            self.keeping = None

    def stop(self) -> None:
        """Send no more checks."""
        for task in (self.opening, self.checking, self.keeping):
            if task is not None:
                task.cancel()

    async def evidence_for(self, observation: Observation) -> Evidence:
        """Return what shows that the process has outlived an answer."""
        ended = self.loop.time()
        proven = observation.proven
        if proven is not None and await self._answers_over(proven, ended):
            return Evidence.CHECKED
        if await self._answers_over_pool(observation):
            return Evidence.POOLED
        if proven is None:
            return Evidence.UNKNOWN_BEFORE
        return Evidence.CONNECTION_LOST

    @property
    def _is_open(self) -> bool:
        return self.connection is not None and self.connection.is_connected()

    async def _answers_over(
        self, proven: outgoing.Connection, ended: float
    ) -> bool:
        """Tell whether a check sent after a time is answered over this.

        One check serves all the answers that ended before it was sent.
        """
        while True:
            if self.shown is not None:
                shown, sent = self.shown
                if shown is proven and sent >= ended:
                    return True
            if proven is not self.connection or not self._is_open:
                return False
            if not await self._check():
                return False

    async def _answers_over_pool(self, observation: Observation) -> bool:
        """Tell whether a kept connection shows that the process lives.

        It leads to the process that has written the answer if that answered
        on it before the request was sent.
        """
        session = self.watches.pooled_session
        asked = observation.connection.asked
        for _ in range(MAX_POOLED_CHECKS):
            kept = session.connector.kept_connections(self.target.url)
            for connection in kept:
                if connection.has_unread:
                    connection.close()
            kept = [x for x in kept if x.is_connected()]
            if not any(_answered_before(x, asked) for x in kept):
                return False
            try:
                checked = await self.watches.send(session, self.target)
            except outgoing.CallError:
                continue
            if _answered_before(checked.connection, asked):
                return True
        return False

    async def _keep(self) -> None:
        """Have an open connection while answers are running."""
        while True:
            if not self._is_open or await self._is_check_due():
                self.unproven.clear()
                if not await self._check():
                    await asyncio.sleep(RETRY_MS / MS_PER_SECOND)

    async def _is_check_due(self) -> bool:
        """Wait until the connection is to be used again, or is lost."""
        connection = self.connection
        refresh_ms = REFRESH_MS
        if self.idle_ms is not None:
            refresh_ms = min(refresh_ms, self.idle_ms / 2)
        timeout_s = max(MIN_REFRESH_MS, refresh_ms) / MS_PER_SECOND
        waiting = asyncio.ensure_future(self.unproven.wait())
        try:
            await asyncio.wait(
                {connection.closed, waiting},
                timeout=timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            waiting.cancel()
        if connection.is_connected():
            return True
        self._note_idle_time(connection)
        # If its process has ended, so do the answers within this time.
        await asyncio.sleep(CLOSE_SPREAD_MS / MS_PER_SECOND)
        self._release(connection)
        self.unproven.set()
        return False

    def _note_idle_time(self, connection: outgoing.Connection) -> None:
        """Note how long an endpoint kept a connection open without a request.

        One that was closed sooner than checks could follow was not idle.
        """
        used = connection.opened
        if self.shown is not None:
            shown, sent = self.shown
            if shown is connection:
                used = sent
        unused_ms = (self.loop.time() - used) * MS_PER_SECOND
        if unused_ms >= 2 * MIN_REFRESH_MS:
            self.idle_ms = unused_ms

    async def _open(self) -> None:
        """Open a connection that the next check uses."""
        connector = self.watches.session.connector
        try:
            self.connection = await connector.open_kept(self.target.url)
        except outgoing.CallError as error:
            LOG.debug('no connection for health checks: %s', error)
        finally:
            self.opening = None

    async def _check(self) -> bool:
        """Await the check that is under way, or one more if there is none.

        It goes on if an answer that waits for it is cancelled.
        """
        if self.checking is None:
            self.checking = asyncio.create_task(self._send_check())
            self.checking.add_done_callback(self._check_ended)
        return await asyncio.shield(self.checking)

    def _check_ended(self, _checking: asyncio.Task) -> None:
        self.checking = None

    async def _send_check(self) -> bool:
        """Send a check; return whether it was answered."""
        if self.opening is not None:
            await asyncio.wait([self.opening])
        session = self.watches.session
        if self._is_open:
            if self.connection.has_unread:
                # An extra response would be taken for this check's.
                self.connection.close()
                return False
            session.connector.prefer(self.target.url, self.connection)
        sent = self.loop.time()
        try:
            checked = await self.watches.send(session, self.target)
        except outgoing.CallError as error:
            LOG.debug('health check failed: %s', error)
            return False
        connection = checked.connection
        self.shown = (connection, sent)
        if checked.keep_open_ms is not None:
            self.idle_ms = checked.keep_open_ms
        if not checked.closes:
            self._adopt(connection)
            return True
        # The next check needs a connection that is open before the end.
        self._release(connection)
        self.connection = None
        await self._open()
        if self._is_open:
            self._adopt(self.connection)
        return True

    def _adopt(self, connection: outgoing.Connection) -> None:
        """Use a connection, also for answers that run and have none."""
        self.connection = connection
        for observation in self.observations:
            if observation.proven is None and observation.is_running:
                observation.proven = connection

    def _release(self, connection: outgoing.Connection) -> None:
        """Let running answers be shown by another connection.

        This one was closed while its process lives.
        """
        for observation in self.observations:
            if observation.proven is connection and observation.is_running:
                observation.proven = None


class Watches:
    """The watches of all endpoints.

    Checks are sent over a session of their own, so that their connections
    stay free. ``pooled_session`` is one for requests, whose kept connections
    serve as well.
    """

    def __init__(self, send: Sender, pooled_session):
        self.send = send
        self.pooled_session = pooled_session
        self.session = outgoing.open_session(keep_unused_ms=KEEP_UNUSED_MS)
        self.by_endpoint: dict[tuple[str, str], Watch] = {}

    def watch(self, target: Target) -> Watch:
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


def _answered_before(connection: outgoing.Connection, at: float) -> bool:
    answered = connection.answered
    return answered is not None and answered < at


async def send_check(
    session, target: Target, headers: typing.Mapping[str, str]
) -> tuple[outgoing.Response, Checked]:
    """Send a health check over HTTP; return the response that was read.

    Raises ``outgoing.CallError`` if there is none.
    """
    response = await outgoing.open_call(
        session,
        'GET',
        target.url + target.path,
        CHECK_TIMEOUT_MS,
        headers=headers,
    )
    connection = response.protocol
    keep_open_ms = _keep_open_ms(response.headers.get('Keep-Alive', ''))
    async with response:
        await outgoing.read_body(response, MAX_CHECK_BYTES)
    closes = not connection.is_connected()
    return response, Checked(connection, closes, keep_open_ms)


def _keep_open_ms(header: str) -> int | None:
    """Return the time that a ``Keep-Alive`` header states."""
    for part in header.split(','):
        name, _, value = part.partition('=')
        value = value.strip()
        if name.strip().lower() == 'timeout' and value.isdecimal():
            return int(value[:6]) * MS_PER_SECOND
    return None
