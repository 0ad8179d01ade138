"""Runs at the endpoint: send the request, relay the body, cancel."""

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
KEPT_BYTES = stream.MINIMUM_LIMIT_BYTES
"""Unacknowledged bytes of one answer; then the endpoint is not read."""

CANCEL_PAUSE_MS = 20
LONGEST_CANCEL_PAUSE_MS = 1000


class Outbox(typing.Protocol):
    """The links to the gateways, as far as runs need them."""

    def send(self, peer: str, message: messages.Message) -> None:
        """Send if there is a link; otherwise drop the message."""

    def congested(self, peer: str) -> bool:
        """Tell whether the peer's link has enough to send for now."""

    def linked(self, peer: str) -> bool:
        """Tell whether there is a link to the peer."""


class RunCalls:
    """Carry out what the reducer orders about runs.

    ``runs`` holds each run until its frames are acknowledged or forgotten.
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
        """Return what carries each class of effect out."""
        return {
            effects.StartRun: self.start,
            effects.CancelRun: self.cancel,
            effects.ResendFrames: self.resend,
            effects.ForgetRun: self.forget,
        }

    def start(self, effect: effects.StartRun) -> None:
        """Send a request to the endpoint and follow its answer."""
        run = _run.Run(
            effect,
            stream.StreamSender(effect.attempt_id, KEPT_BYTES),
            self.time.now_ms(),
            effect.peer,
            detached=not self.outbox.linked(effect.peer),
        )
        self.runs[run.attempt_id] = run
        run.task = self.tasks.start(self._follow(run))

    def cancel(self, effect: effects.CancelRun) -> None:
        """Cancel a run; feeds CancelConfirmed and nothing else after it."""
        run = self.runs.get(effect.attempt_id)
        if run is None:
            # The reducer counts on an answer to every cancel.
            self._confirm(effect.attempt_id)
        elif not run.cancelling:
            run.cancelling = True
            self.tasks.start(self._cancel(run))

    def accept(self, attempt_id: str) -> None:
        """Let the body of an answer follow its head."""
        run = self.runs.get(attempt_id)
        if run is not None:
            run.accepted.set()

    def acknowledge(self, message: messages.Acknowledge) -> None:
        """Drop frames that have arrived and read on."""
        run = self.runs.get(message.attempt_id)
        if run is None:
            return
        try:
            run.sender.acknowledge(message.next_sequence)
        except stream.StreamError as error:
            LOG.warning('%s', error)
            return
        if run.sender.released:
            del self.runs[run.attempt_id]
        run.room.set()

    def resend(self, effect: effects.ResendFrames) -> None:
        """Send frames again on the link of a peer, and what follows too."""
        run = self.runs.get(effect.attempt_id)
        if run is None:
            return
        run.peer = effect.peer
        run.detached = False
        try:
            frames = run.sender.resume(effect.next_sequence)
        except stream.StreamError as error:
            # The gateway sees the gap and breaks the answer off.
            LOG.warning('%s', error)
            return
        for frame in frames:
            self.outbox.send(run.peer, frame)
        run.room.set()

    def forget(self, effect: effects.ForgetRun) -> None:
        """Drop a run and close its connection, if it still has one."""
        run = self.runs.pop(effect.attempt_id, None)
        if run is not None and run.task is not None:
            run.task.cancel()

    def relieve(self, peer: str) -> None:
        """Let the answers to a peer go on: its link has room again."""
        for run in self.runs.values():
            if run.peer == peer:
                run.room.set()

    def detach(self, peer: str) -> None:
        """Keep what comes for a peer whose link is gone until it resumes."""
        for run in self.runs.values():
            if run.peer == peer:
                run.detached = True
                run.room.set()

    def undelivered(self) -> bool:
        """Tell whether a whole answer waits for its gateway to resume."""
        return any(
            run.sender.finished and run.detached for run in self.runs.values()
        )

    async def close(self) -> None:
        """Close the connections to the endpoint."""
        await self.client.close()

    async def _follow(self, run: _run.Run) -> None:
        """Take a run to its end, whatever its request makes of the library.

        Guards against a request that the library can't write, or an answer
        that it can't read, in a way of which it does not tell: the run would
        never end, its slot stay pinned, and a resend pin the next one.
        """
        try:
            await self._send_and_relay(run)
        except Exception:
            LOG.exception('run %s', run.attempt_id)
            self._fail(run, errors.Kind.INTERNAL, _MAYBE)
        finally:
            run.over = True

    async def _send_and_relay(self, run: _run.Run) -> None:
        try:
            answer = await self.client.open(self._request(run))
        except outgoing.NotDone:
            self._fail(run, errors.Kind.ENDPOINT_UNREACHABLE, _NOT_RUN)
        except outgoing.Refused:
            self._fail(run, errors.Kind.ENGINE_RESTARTED, _NOT_RUN)
        except outgoing.CallError as error:
            self._fail(run, errors.Kind.ENDPOINT_FAILED, _MAYBE, error)
        else:
            try:
                await self._answer(run, answer)
            finally:
                answer.close()

    def _request(self, run: _run.Run) -> endpoint.EndpointRequest:
        """Return the call of a run, over a connection of its own.

        Guards against a kept connection that the endpoint closes as the
        request goes out: nobody could tell that from a crash in the request,
        which then would be suspected of it, nor whether it ran.
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

    async def _answer(
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
            await self._relay(run, answer, end)
        except outgoing.CallError as error:
            self._fail(run, errors.Kind.STREAM_BROKEN, _MAYBE, error)
            return
        if end.whole():
            self._end(run)
        else:
            self._fail(run, errors.Kind.STREAM_BROKEN, _MAYBE, crashed=True)

    async def _relay(
        self,
        run: _run.Run,
        answer: endpoint.EndpointAnswer,
        end: _answer_end.EndCheck,
    ) -> None:
        """Pass the body on as it comes, no faster than it is taken.

        Guards against a link that is closed for its backlog: many answers
        whose next part is here send it in the same turn of the loop. Each
        looks again before it sends, so that one part goes over the bound.
        """
        async for chunk in answer.chunks():
            end.add(chunk)
            run.body_bytes += len(chunk)
            while run.sender.paused or self.outbox.congested(run.peer):
                run.room.clear()
                await run.room.wait()
            frame = run.sender.push(chunk)
            if not run.detached:
                self.outbox.send(run.peer, frame)

    def _end(self, run: _run.Run) -> None:
        """Report a whole answer; its end is kept like any frame of it."""
        if run.cancelling:
            return
        count = run.sender.finish().count
        _run_end.log(run, 'whole', self.time.now_ms())
        now_ms = self.time.now_ms()
        self.feed(events.RunEnded(now_ms, run.attempt_id, count))

    def _fail(
        self,
        run: _run.Run,
        kind: errors.Kind,
        ran: errors.Ran,
        error: Exception | None = None,
        crashed: bool = False,
    ) -> None:
        if run.cancelling:
            return
        crashed = crashed or _run_end.connection_broke(error)
        run.over = True
        _run_end.log(run, kind.value, self.time.now_ms())
        now_ms = self.time.now_ms()
        self.feed(events.RunFailed(now_ms, run.attempt_id, kind, ran, crashed))
        if not run.cancelling:
            # The frames of an answer that can't be whole serve nobody.
            self.runs.pop(run.attempt_id, None)

    def _feed(self, run: _run.Run, event: events.Event) -> None:
        if not run.cancelling:
            self.feed(event)

    async def _cancel(self, run: _run.Run) -> None:
        await self._cancel_at_endpoint(run)
        run.task.cancel()
        self.runs.pop(run.attempt_id, None)
        _run_end.log(run, 'cancelled', self.time.now_ms())
        self._confirm(run.attempt_id)

    async def _cancel_at_endpoint(self, run: _run.Run) -> None:
        """Return when the endpoint surely does not run the request.

        Guards against a cancel that overtakes its request, which is still in
        a socket: the engine says that it does not know it, and runs it a
        moment later, on a slot that was given to another adapter by then. An
        engine that does not know a request is believed only if it had
        answered before, or if the connection is gone.
        """
        pause_ms = CANCEL_PAUSE_MS
        while run.attempt_id in self.runs:
            settled = run.head_seen or run.over
            try:
                if await self.control.cancel(run.attempt_id) or settled:
                    return
            except outgoing.CallError as error:
                LOG.info('cancel of %s: %s', run.attempt_id, error)
            await asyncio.sleep(pause_ms / clock.MS_PER_SECOND)
            pause_ms = min(2 * pause_ms, LONGEST_CANCEL_PAUSE_MS)

    def _confirm(self, attempt_id: str) -> None:
        self.feed(events.CancelConfirmed(self.time.now_ms(), attempt_id))


_NOT_RUN = errors.Ran.NOT_RUN
_MAYBE = errors.Ran.UNKNOWN
