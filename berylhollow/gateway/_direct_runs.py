"""Attempts at direct endpoints, told of like those behind a sidecar.

Each attempt is one HTTP exchange. What comes of it is turned into the
messages that a sidecar would send, so that everything after it (choice,
retries, relay, budgets) is the same.
"""

import asyncio
import logging
import typing

from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow import outgoing
from berylhollow import platform
from berylhollow import shell
from berylhollow import stream

LOG = logging.getLogger(__name__)

LIMIT_BYTES = 256 * 1024
"""What is read of an answer ahead of its caller; then the endpoint waits."""

TAKEN = (
    messages.Offer,
    messages.Cancel,
    messages.Acknowledge,
    messages.Resume,
)
NOT_RUN_KINDS = {
    platform.NotRun.FULL: errors.Kind.OVERLOADED,
    platform.NotRun.ANOTHER_INSTANCE: errors.Kind.ENDPOINT_REPLACED,
    platform.NotRun.ADAPTER_ABSENT: errors.Kind.ADAPTER_ABSENT,
    platform.NotRun.REFUSED: errors.Kind.OVERLOADED,
}
SERVER_ERRORS = 500
SUCCESSES = range(200, 300)


class Owner(typing.Protocol):
    """What the runs report to the shell."""

    def message(self, peer: str, message: messages.Message) -> None:
        """Take a message of an endpoint."""

    def noticed(
        self, peer: str, sent_ms: int, notice: events.EndpointNotice
    ) -> None:
        """Take what an endpoint says of itself."""

    def now_ms(self) -> int:
        """Return the time."""

    def row_of(self, name: str) -> events.Instance | None:
        """Return what is listed of an endpoint, None if it is unknown."""


class DirectRuns:
    """The exchanges under way, by attempt."""

    def __init__(
        self,
        calls: platform.EndpointCalls,
        owner: Owner,
        tasks: shell.Tasks,
    ):
        self.calls = calls
        self.owner = owner
        self.tasks = tasks
        self.under_way: dict[str, Run] = {}

    def takes(self, message: messages.Message) -> bool:
        """Tell whether a message concerns an attempt."""
        return isinstance(message, TAKEN)

    def take(self, peer: str, message: messages.Message) -> None:
        """Begin an attempt, cancel it or note what its caller has."""
        if isinstance(message, messages.Offer):
            self._begin(peer, message)
            return
        run = self.under_way.get(message.attempt_id)
        if run is None:
            return
        if isinstance(message, messages.Cancel):
            run.cancel()
        elif isinstance(message, messages.Acknowledge):
            run.acknowledge(message.next_sequence)

    async def close(self) -> None:
        """Close every connection."""
        await self.calls.close()

    def _begin(self, peer: str, offer: messages.Offer) -> None:
        run = Run(self.calls, self.owner, peer, offer)
        self.under_way[offer.attempt_id] = run
        run.task = self.tasks.start(run.follow())
        run.task.add_done_callback(lambda _: self._ended(offer.attempt_id))

    def _ended(self, attempt_id: str) -> None:
        self.under_way.pop(attempt_id, None)


class Run:
    """One exchange with an endpoint."""

    def __init__(
        self,
        calls: platform.EndpointCalls,
        owner: Owner,
        peer: str,
        offer: messages.Offer,
    ):
        self.calls = calls
        self.owner = owner
        self.peer = peer
        self.offer = offer
        self.task: asyncio.Task | None = None
        self.sender = stream.StreamSender(offer.attempt_id, LIMIT_BYTES)
        self.room = asyncio.Event()

    def cancel(self) -> None:
        """Break off: the connection closes, which ends the run there."""
        self.task.cancel()

    def acknowledge(self, next_sequence: int) -> None:
        """The caller's connection has taken all before this."""
        self.sender.acknowledge(next_sequence)
        self.room.set()

    async def follow(self) -> None:
        """See the exchange through and report how it ends."""
        row = self.owner.row_of(self.peer)
        if row is None:
            kind = errors.Kind.ENDPOINT_UNREACHABLE
            self._failed(kind, errors.Ran.NOT_RUN, 'not listed any more')
            return
        sent_ms = self.owner.now_ms()
        try:
            answer = await self.calls.send(
                self.offer, row.address, row.listed_name
            )
        except outgoing.NotDone as error:
            kind = errors.Kind.ENDPOINT_UNREACHABLE
            self._failed(kind, errors.Ran.NOT_RUN, str(error))
            return
        except outgoing.CallError as error:
            # Sent, and no answer: it may have run.
            kind = errors.Kind.ENGINE_RESTARTED
            self._failed(kind, errors.Ran.UNKNOWN, str(error))
            return
        try:
            if answer.notice is not None:
                self.owner.noticed(self.peer, sent_ms, answer.notice)
            await self._answered(answer)
        finally:
            answer.close()

    async def _answered(self, answer: platform.Answer) -> None:
        if not answer.own:
            # An answer that came too late for another request, or is none.
            kind = errors.Kind.OUTCOME_UNKNOWN
            self._failed(kind, errors.Ran.UNKNOWN, 'not the own answer')
            return
        if answer.not_run is not None:
            kind = NOT_RUN_KINDS[answer.not_run]
            self._failed(kind, errors.Ran.NOT_RUN, answer.not_run.value)
            await self._drop_body(answer)
            return
        if answer.status in SUCCESSES and not answer.signed:
            kind = errors.Kind.ENDPOINT_FAILED
            self._failed(kind, errors.Ran.UNKNOWN, 'unsigned success')
            return
        if answer.status >= SERVER_ERRORS and self.offer.another:
            kind = errors.Kind.ENDPOINT_FAILED
            self._failed(kind, errors.Ran.RAN, f'HTTP {answer.status}')
            await self._drop_body(answer)
            return
        self._tell(
            messages.Started(
                self.offer.attempt_id,
                answer.status,
                answer.headers,
                self.offer.adapter,
            )
        )
        await self._pass_on(answer)

    async def _drop_body(self, answer: platform.Answer) -> None:
        """Read a body that nobody wants, to keep the connection."""
        try:
            async for _ in answer.parts():
                pass
        except outgoing.MaybeDone as error:
            LOG.info('rest of a refusal lost', extra={'reason': str(error)})

    async def _pass_on(self, answer: platform.Answer) -> None:
        try:
            async for part in answer.parts():
                while self.sender.paused:
                    self.room.clear()
                    await self.room.wait()
                self._tell(self.sender.push(part))
        except outgoing.MaybeDone as error:
            kind = errors.Kind.STREAM_BROKEN
            self._failed(kind, errors.Ran.UNKNOWN, str(error))
            return
        self._tell(self.sender.finish())

    def _failed(self, kind: errors.Kind, ran: errors.Ran, why: str) -> None:
        LOG.info(
            'attempt failed',
            extra={
                'attempt_id': self.offer.attempt_id,
                'endpoint': self.peer,
                'kind': kind.value,
                'ran': ran.value,
                'reason': why,
            },
        )
        self._tell(messages.Failed(self.offer.attempt_id, kind, ran, 0, why))

    def _tell(self, message: messages.Message) -> None:
        self.owner.message(self.peer, message)
