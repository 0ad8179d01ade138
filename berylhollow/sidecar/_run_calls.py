"""HTTP calls of runs: sends requests, relays bodies, cancels."""

import asyncio
import collections.abc
import logging
import typing

from berylhollow import clock
from berylhollow import effects
from berylhollow import endpoint
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow import outgoing
from berylhollow import shell
from berylhollow.sidecar import _answer_end
from berylhollow.sidecar import _endpoint_calls
from berylhollow.sidecar import _run
from berylhollow.sidecar import _run_end
from berylhollow import stream

LOG = logging.getLogger(__name__)

REQUEST_ID = 'X-Request-Id'
MAX_UNACKNOWLEDGED_BYTES = stream.MINIMUM_LIMIT_BYTES
"""Unacknowledged bytes per answer at which reading the endpoint pauses."""

CANCEL_RETRY_MS = 20
MAX_CANCEL_RETRY_MS = 1000


class Outbox(typing.Protocol):
    """Interface to the gateway links that runs use."""

    def send(self, peer: str, message: messages.Message) -> None:
        """Send if there is a link; otherwise drop the message."""

    def is_congested(self, peer: str) -> bool:
        """Tell whether the peer's link has enough data queued for now."""

    def linked(self, peer: str) -> bool:
        """Tell whether there is a link to the peer."""


class RunCalls:
    """Carries out the reducer's effects on runs.

    ``runs`` holds each run until its frames are acknowledged or dropped.
    """

    def __init__(
        self,
        client: endpoint.EndpointClient,
        control: _endpoint_calls.Control,
        outbox: Outbox,
        feed: collections.abc.Callable[[events.Event], None],
        time: clock.Clock,
        tasks: shell.Tasks,
    ):
        self.client = client
        self.control = control
        self.outbox = outbox
        self.feed = feed
        self.time = time
        self.tasks = tasks
        self.runs: dict[str, _run.Run] = {}

    def handlers(self) -> dict:
        """Return the handler of each class of effect."""
        return {
            effects.StartRun: self.start,
            effects.CancelRun: self.cancel,
            effects.ResendFrames: self.resend,
            effects.ForgetRun: self.forget,
        }

    def start(self, effect: effects.StartRun) -> None:
        """Start the task that sends a request and relays its answer."""
        run = _run.Run(
            effect,
            stream.StreamSender(effect.attempt_id, MAX_UNACKNOWLEDGED_BYTES),
            self.time.now_ms(),
            effect.peer,
            detached=not self.outbox.linked(effect.peer),
        )
        self.runs[run.attempt_id] = run
        run.task = self.tasks.start(self._run_to_end(run))

    def cancel(self, effect: effects.CancelRun) -> None:
        """Cancel a run; feeds CancelConfirmed and nothing else after it."""
        run = self.runs.get(effect.attempt_id)
        if run is None:
            # The reducer expects a confirmation of every cancel.
            self._confirm_cancel(effect.attempt_id)
        elif not run.cancelling:
            run.cancelling = True
            self.tasks.start(self._cancel(run))

    def accept(self, attempt_id: str) -> None:
        """Allow the body of an answer to be relayed after its head."""
        run = self.runs.get(attempt_id)
        if run is not None:
            run.accepted.set()

    def acknowledge(self, message: messages.Acknowledge) -> None:
        """Drop acknowledged frames and resume reading."""
        run = self.runs.get(message.attempt_id)
        if run is None:
            return
        try:
            run.sender.acknowledge(message.next_sequence)
        except stream.StreamError as error:
            LOG.warning('%s', error)
            return
        if run.sender.is_fully_acknowledged:
            del self.runs[run.attempt_id]
        run.writable.set()

    def resend(self, effect: effects.ResendFrames) -> None:
        """Resend frames to a peer and send it all later frames too."""
        run = self.runs.get(effect.attempt_id)
        if run is None:
            return
        run.peer = effect.peer
        run.detached = False
        try:
            frames = run.sender.resume(effect.next_sequence)
        except stream.StreamError as error:
            # The gateway detects the gap and aborts the answer.
            LOG.warning('%s', error)
            return
        for frame in frames:
            self.outbox.send(run.peer, frame)
        run.writable.set()

    def forget(self, effect: effects.ForgetRun) -> None:
        """Drop a run and close its connection, if it still has one."""
        run = self.runs.pop(effect.attempt_id, None)
        if run is not None and run.task is not None:
            run.task.cancel()

    def resume_sending(self, peer: str) -> None:
        """Resume the answers to a peer whose link is no longer congested."""
        for run in self.runs.values():
            if run.peer == peer:
                run.writable.set()

    def detach(self, peer: str) -> None:
        """Buffer the answers to a peer whose link is lost until it resumes."""
        for run in self.runs.values():
            if run.peer == peer:
                run.detached = True
                run.writable.set()

    def has_undelivered_answer(self) -> bool:
        """Tell whether a complete answer waits for its gateway to resume."""
        return any(
            run.sender.finished and run.detached for run in self.runs.values()
        )

    async def close(self) -> None:
        """Close the connections to the endpoint."""
        await self.client.close()

    async def _run_to_end(self, run: _run.Run) -> None:
        """Perform a run; any unexpected exception fails it.

        Guards against a request that the HTTP library can't write, or an
        answer that it can't read, raising an undocumented error: the run
        would never end, its slot would stay pinned, and a retry would pin
        another one.
        """
        try:
            await self._send_and_relay(run)
        except Exception:
            LOG.exception('unexpected error in run %s', run.attempt_id)
            self._report_failure(run, errors.Kind.INTERNAL, _MAY_HAVE_RUN)
        finally:
            run.connection_closed = True

    async def _send_and_relay(self, run: _run.Run) -> None:
        try:
            answer = await self.client.open(self._request(run))
        except outgoing.CallNotSent:
            self._report_failure(
                run, errors.Kind.ENDPOINT_UNREACHABLE, _NOT_RUN
            )
        except outgoing.CallRefused:
            self._report_failure(run, errors.Kind.ENGINE_RESTARTED, _NOT_RUN)
        except outgoing.CallError as error:
            self._report_failure(
                run, errors.Kind.ENDPOINT_FAILED, _MAY_HAVE_RUN, error
            )
        else:
            try:
                await self._relay_answer(run, answer)
            finally:
                answer.close()

    def _request(self, run: _run.Run) -> endpoint.EndpointRequest:
        """Return the request of a run, sent over a connection of its own.

        Guards against a kept-alive connection that the endpoint closes while
        the request is sent: that looks like a crash caused by the request,
        which would become a suspect, and whether it ran would be unknown.
        """
        offer = run.effect.offer
        headers = offer.headers
        if self.client.engine:
            headers = (
                *(x for x in headers if x.name.lower() != REQUEST_ID.lower()),
                messages.Header(REQUEST_ID, run.attempt_id),
            )
        return endpoint.EndpointRequest(
            offer.method, offer.path, headers, offer.body, idempotent=False
        )

    async def _relay_answer(
        self, run: _run.Run, answer: endpoint.EndpointAnswer
    ) -> None:
        run.head_ms = self.time.now_ms()
        run.status = answer.status
        self._feed(
            run,
            events.RunStarted(
                run.head_ms,
                run.attempt_id,
                answer.epoch,
                answer.status,
                answer.headers,
                answer.adapter,
            ),
        )
        await run.accepted.wait()
        end = _answer_end.EndCheck(answer, self.client.engine)
        try:
            await self._relay_body(run, answer, end)
        except outgoing.CallError as error:
            self._report_failure(
                run, errors.Kind.STREAM_BROKEN, _MAY_HAVE_RUN, error
            )
            return
        if end.whole():
            self._report_end(run)
        else:
            self._report_failure(
                run, errors.Kind.STREAM_BROKEN, _MAY_HAVE_RUN, crashed=True
            )

    async def _relay_body(
        self,
        run: _run.Run,
        answer: endpoint.EndpointAnswer,
        end: _answer_end.EndCheck,
    ) -> None:
        """Relay the body, no faster than the gateway takes it.

        Guards against a link that is closed for its backlog: many answers
        may each have a chunk ready in the same iteration of the event loop.
        Congestion is checked before each send, so that at most one chunk
        exceeds the limit.
        """
        async for chunk in answer.chunks():
            end.add(chunk)
            run.body_bytes += len(chunk)
            while run.sender.is_paused or self.outbox.is_congested(run.peer):
                run.writable.clear()
                await run.writable.wait()
            frame = run.sender.push(chunk)
            if not run.detached:
                self.outbox.send(run.peer, frame)

    def _report_end(self, run: _run.Run) -> None:
        """Report a complete answer; its end frame is kept like any other."""
        if run.cancelling:
            return
        count = run.sender.finish().count
        _run_end.log_end(run, 'whole', self.time.now_ms())
        now_ms = self.time.now_ms()
        self.feed(events.RunEnded(now_ms, run.attempt_id, count))

    def _report_failure(
        self,
        run: _run.Run,
        kind: errors.Kind,
        ran: errors.Ran,
        error: Exception | None = None,
        crashed: bool = False,
    ) -> None:
        if run.cancelling:
            return
        crashed = crashed or _run_end.is_broken_connection(error)
        run.connection_closed = True
        _run_end.log_end(run, kind.value, self.time.now_ms())
        now_ms = self.time.now_ms()
        self.feed(events.RunFailed(now_ms, run.attempt_id, kind, ran, crashed))
        if not run.cancelling:
            # The frames of an incomplete answer are of no use.
            self.runs.pop(run.attempt_id, None)

    def _feed(self, run: _run.Run, event: events.Event) -> None:
        if not run.cancelling:
            self.feed(event)

    async def _cancel(self, run: _run.Run) -> None:
        await self._cancel_at_endpoint(run)
        run.task.cancel()
        self.runs.pop(run.attempt_id, None)
        _run_end.log_end(run, 'cancelled', self.time.now_ms())
        self._confirm_cancel(run.attempt_id)

    async def _cancel_at_endpoint(self, run: _run.Run) -> None:
        """Cancel a run; return once the endpoint definitely does not run it.

        Guards against a cancel that overtakes its request, which is still in
        a socket buffer: the engine reports it as unknown and runs it a moment
        later, on a slot that has been given to another adapter by then. The
        report that a request is unknown counts only if the engine had
        answered the request before, or if its connection is closed.
        """
        retry_ms = CANCEL_RETRY_MS
        while run.attempt_id in self.runs:
            is_conclusive = run.has_head or run.connection_closed
            try:
                if await self.control.cancel(run.attempt_id) or is_conclusive:
                    return
            except outgoing.CallError as error:
                LOG.info('cancel of run %s failed: %s', run.attempt_id, error)
            await asyncio.sleep(retry_ms / clock.MS_PER_SECOND)
            retry_ms = min(2 * retry_ms, MAX_CANCEL_RETRY_MS)

    def _confirm_cancel(self, attempt_id: str) -> None:
        self.feed(events.CancelConfirmed(self.time.now_ms(), attempt_id))


_NOT_RUN = errors.Ran.NOT_RUN
_MAY_HAVE_RUN = errors.Ran.UNKNOWN
