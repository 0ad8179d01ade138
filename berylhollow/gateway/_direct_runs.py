"""Attempts at direct endpoints, which take requests without a sidecar.

Each attempt is one HTTP exchange. Its outcome is reported in the messages
that a sidecar would send, so that placement, retries, relay and budgets
work the same for both.
"""

import asyncio
import logging
import typing

from berylhollow import answer_body
from berylhollow import clock
from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import liveness
from berylhollow import messages
from berylhollow import outgoing
from berylhollow import platform
from berylhollow import shell
from berylhollow import stream
from berylhollow.util import bounded

LOG = logging.getLogger(__name__)

READ_AHEAD_BYTES = 256 * 1024
"""How far an answer is read ahead of its caller before reading pauses."""

MAX_ENDED_PEERS = 1000
"""An endpoint that starts again has another name."""

MAX_DISCARDED_BYTES = 64 * 1024
DISCARD_TIMEOUT_S = 1.0
"""Bounds of an unused body that is read for the sake of its connection."""

ATTEMPT_MESSAGES = (
    messages.Offer,
    messages.Cancel,
    messages.Acknowledge,
    messages.Resume,
)
NOT_RUN_KINDS = {
    platform.NotRunReason.FULL: errors.Kind.OVERLOADED,
    platform.NotRunReason.ANOTHER_INSTANCE: errors.Kind.ENDPOINT_REPLACED,
    platform.NotRunReason.ADAPTER_ABSENT: errors.Kind.ADAPTER_ABSENT,
    platform.NotRunReason.REFUSED: errors.Kind.OVERLOADED,
}
FIRST_SERVER_ERROR = 500


class Owner(typing.Protocol):
    """Callbacks and look-ups that the shell provides."""

    def message(self, peer: str, message: messages.Message) -> None:
        """Handle a message from an endpoint."""

    def notice_received(
        self, peer: str, sent_ms: int, notice: events.EndpointNotice
    ) -> None:
        """Handle what an endpoint says about itself in an answer."""

    def endpoint_outlived(
        self, peer: str, since_ms: int, until_ms: int
    ) -> None:
        """Handle that one process was up between two times."""

    def now_ms(self) -> int:
        """Return the current time."""

    def listed_instance(self, name: str) -> events.Instance | None:
        """Return the listed instance of an endpoint, None if unknown."""

    def count(
        self, name: str, value: int, attributes: tuple[tuple[str, str], ...]
    ) -> None:
        """Add to a counter."""

    def check_path(self, service: str) -> str:
        """Return where endpoints of a service answer health checks."""


class DirectRuns:
    """The running exchanges, by attempt id.

    ``ended_peers`` are endpoints that were leaving when an answer of theirs
    was broken off.
    """

    def __init__(
        self,
        calls: platform.EndpointClient,
        owner: Owner,
        tasks: shell.Tasks,
    ):
        self.calls = calls
        self.owner = owner
        self.tasks = tasks
        self.runs: dict[str, DirectRun] = {}
        self.ended_peers: dict[str, None] = {}

    def is_attempt_message(self, message: messages.Message) -> bool:
        """Return whether a message concerns an attempt."""
        return isinstance(message, ATTEMPT_MESSAGES)

    def handle_message(self, peer: str, message: messages.Message) -> None:
        """Start or cancel an attempt, or handle an acknowledgement."""
        if isinstance(message, messages.Offer):
            self._start_run(peer, message)
            return
        run = self.runs.get(message.attempt_id)
        if run is None:
            return
        if isinstance(message, messages.Cancel):
            run.cancel()
        elif isinstance(message, messages.Acknowledge):
            run.acknowledge(message.next_sequence)

    def check_life(self, effect: effects.CheckLife) -> None:
        """Ask an endpoint's process whether it lives."""
        self.tasks.start(self._check_life(effect.endpoint))

    async def _check_life(self, peer: str) -> None:
        instance = self.owner.listed_instance(peer)
        if instance is None:
            return
        asked_ms = self.owner.now_ms()
        asked = asyncio.get_running_loop().time()
        since = await self.calls.listening_since(
            instance.address,
            instance.listed_name,
            self.owner.check_path(instance.service),
        )
        if since is None:
            LOG.info('endpoint does not show its life', extra={'peer': peer})
            return
        age_ms = int((asked - since) * clock.MS_PER_SECOND)
        self.owner.endpoint_outlived(peer, asked_ms - age_ms, asked_ms)

    async def close(self) -> None:
        """Close all connections to endpoints."""
        await self.calls.close()

    def _start_run(self, peer: str, offer: messages.Offer) -> None:
        run = DirectRun(self.calls, self.owner, self, peer, offer)
        self.runs[offer.attempt_id] = run
        run.task = self.tasks.start(run.execute())
        run.task.add_done_callback(
            lambda _: self._forget_run(offer.attempt_id)
        )

    def note_end(self, peer: str) -> None:
        """Note that an answer of a leaving endpoint was broken off."""
        self.ended_peers[peer] = None
        bounded.drop_oldest(self.ended_peers, MAX_ENDED_PEERS)

    def is_last(self, run: 'DirectRun') -> bool:
        """Return whether a run was the last one of a leaving endpoint."""
        peer = run.peer
        if peer in self.ended_peers:
            return False
        return all(x is run or x.peer != peer for x in self.runs.values())

    def _forget_run(self, attempt_id: str) -> None:
        self.runs.pop(attempt_id, None)


class DirectRun:
    """One HTTP exchange with an endpoint."""

    def __init__(
        self,
        calls: platform.EndpointClient,
        owner: Owner,
        others: DirectRuns,
        peer: str,
        offer: messages.Offer,
    ):
        self.calls = calls
        self.owner = owner
        self.others = others
        self.peer = peer
        self.offer = offer
        self.task: asyncio.Task | None = None
        self.sender = stream.StreamSender(offer.attempt_id, READ_AHEAD_BYTES)
        self.sender_unblocked = asyncio.Event()

    def cancel(self) -> None:
        """Close the connection, which cancels the run at the endpoint."""
        self.task.cancel()

    def acknowledge(self, next_sequence: int) -> None:
        """Note that the caller's connection took all earlier payloads."""
        self.sender.acknowledge(next_sequence)
        self.sender_unblocked.set()

    async def execute(self) -> None:
        """Send the request and report its answer or failure."""
        try:
            await self._execute()
        except Exception as error:
            # Without an outcome the request would wait for its deadline.
            LOG.exception(
                'exception in a run',
                extra={'attempt_id': self.offer.attempt_id},
            )
            kind = errors.Kind.INTERNAL
            self._report_failure(kind, errors.Ran.UNKNOWN, repr(error))

    async def _execute(self) -> None:
        instance = self.owner.listed_instance(self.peer)
        if instance is None:
            kind = errors.Kind.ENDPOINT_UNREACHABLE
            self._report_failure(
                kind, errors.Ran.NOT_RUN, 'endpoint is no longer listed'
            )
            return
        version = self.offer.software_version
        if version and instance.software_version != version:
            kind = errors.Kind.SOFTWARE_VERSION_GONE
            self._report_failure(
                kind,
                errors.Ran.NOT_RUN,
                f'endpoint is listed with {instance.software_version!r}',
            )
            return
        sent_ms = self.owner.now_ms()
        try:
            answer = await self.calls.send(
                self.offer,
                instance.address,
                instance.listed_name,
                self.owner.check_path(instance.service),
            )
        except outgoing.CallNotSent as error:
            kind = errors.Kind.ENDPOINT_UNREACHABLE
            self._report_failure(kind, errors.Ran.NOT_RUN, str(error))
            return
        except outgoing.CallError as error:
            # The request was sent but not answered: it may have run.
            kind = errors.Kind.ENGINE_RESTARTED
            self._report_failure(kind, errors.Ran.UNKNOWN, str(error))
            return
        try:
            if answer.notice is not None:
                self.owner.notice_received(self.peer, sent_ms, answer.notice)
            await self._handle_answer(answer)
        finally:
            answer.close()

    async def _handle_answer(self, answer: platform.Answer) -> None:
        if not answer.is_for_this_request:
            # A late answer to another request, or no valid answer at all.
            kind = errors.Kind.OUTCOME_UNKNOWN
            self._report_failure(
                kind,
                errors.Ran.UNKNOWN,
                'answer does not belong to this request',
            )
            return
        if answer.not_run is not None:
            kind = NOT_RUN_KINDS[answer.not_run]
            self._report_failure(
                kind, errors.Ran.NOT_RUN, answer.not_run.value
            )
            await self._discard_body(answer)
            return
        if answer.status in messages.SUCCESS_STATUSES and not answer.is_signed:
            kind = errors.Kind.ENDPOINT_FAILED
            self._report_failure(
                kind, errors.Ran.UNKNOWN, 'successful answer is not signed'
            )
            return
        if answer.status >= FIRST_SERVER_ERROR and self.offer.another:
            kind = errors.Kind.ENDPOINT_FAILED
            self._report_failure(kind, errors.Ran.RAN, f'HTTP {answer.status}')
            await self._discard_body(answer)
            return
        self._report(
            messages.Started(
                self.offer.attempt_id,
                answer.status,
                answer.headers,
                self.offer.adapter,
            )
        )
        await self._relay_body(answer)

    async def _discard_body(self, answer: platform.Answer) -> None:
        """Read an unused body, so that the connection can be reused.

        One that is large or slow is not worth it: the connection is closed.
        """
        try:
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                async for _ in answer.parts():
                    if answer.body.size_bytes > MAX_DISCARDED_BYTES:
                        break
        except (outgoing.CallOutcomeUnknown, TimeoutError) as error:
            LOG.info(
                'reading an unused answer body failed',
                extra={'reason': str(error) or type(error).__name__},
            )

    async def _relay_body(self, answer: platform.Answer) -> None:
        try:
            async for part in answer.parts():
                while self.sender.is_paused:
                    self.sender_unblocked.clear()
                    await self.sender_unblocked.wait()
                self._report(self.sender.push(part))
            await self._check_end(answer)
        except outgoing.CallOutcomeUnknown as error:
            self._log_end(answer.body)
            if self._may_end_as_planned(answer):
                self.others.note_end(self.peer)
            kind = errors.Kind.STREAM_BROKEN
            self._report_failure(kind, errors.Ran.UNKNOWN, str(error))
            return
        self._log_end(answer.body)
        self._report(self.sender.finish())

    async def _check_end(self, answer: platform.Answer) -> None:
        """Raise BodyTruncated unless the endpoint has outlived the body.

        One that leaves as planned ends after the last of its answers, so
        that none of the others may end together with it.
        """
        try:
            await answer.body.check_endpoint_lives()
        except answer_body.BodyTruncated:
            is_last = self.others.is_last(self)
            if not (is_last and self._may_end_as_planned(answer)):
                raise

    def _may_end_as_planned(self, answer: platform.Answer) -> bool:
        """Return whether the endpoint may have ended after its last answer.

        One that is removed at short notice may end in the middle of any.
        """
        instance = self.owner.listed_instance(self.peer)
        if instance is not None and instance.removed_in_ms is not None:
            return False
        if answer.notice is not None and answer.notice.leaving:
            return True
        return instance is not None and instance.leaving

    def _count_end(self, evidence: liveness.Evidence) -> None:
        instance = self.owner.listed_instance(self.peer)
        service = '' if instance is None else instance.service
        attributes = (
            ('berylhollow.service', service),
            ('berylhollow.evidence', evidence.name.lower()),
        )
        self.owner.count('berylhollow.unframed_answers', 1, attributes)

    def _log_end(self, body: answer_body.BodyReader) -> None:
        """Log the end of a body that its framing doesn't prove whole."""
        is_proven = body.framing is not answer_body.Framing.CONNECTION
        if is_proven and not body.ended_inside_event:
            return
        if body.evidence is not None:
            self._count_end(body.evidence)
        LOG.info(
            'answer body ended',
            extra={
                'attempt_id': self.offer.attempt_id,
                'endpoint': self.peer,
                'framing': body.framing.value,
                'size_bytes': body.size_bytes,
                'is_event_stream': body.stream_end is not None,
                'inside_event': body.ended_inside_event,
                'reset': body.response.was_reset,
                'evidence': body.evidence.value if body.evidence else '',
            },
        )

    def _report_failure(
        self, kind: errors.Kind, ran: errors.Ran, reason: str
    ) -> None:
        LOG.info(
            'attempt failed',
            extra={
                'attempt_id': self.offer.attempt_id,
                'endpoint': self.peer,
                'kind': kind.value,
                'ran': ran.value,
                'reason': reason,
            },
        )
        self._report(
            messages.Failed(self.offer.attempt_id, kind, ran, 0, reason)
        )

    def _report(self, message: messages.Message) -> None:
        self.owner.message(self.peer, message)
