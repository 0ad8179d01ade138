"""The gateway's shell: turns I/O into events and carries out effects.

All decisions are made by the reducer. The payloads of answers bypass the
reducer: they go from the link of an attempt through a relay to the caller.
"""

import asyncio
import functools
import logging
import random
import secrets
import typing

from aiohttp import web

from berylhollow import clock
from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import following
from berylhollow.gateway import _deployment
from berylhollow.gateway import _direct_runs
from berylhollow.gateway import _exchange
from berylhollow.gateway import _http
from berylhollow.gateway import _links
from berylhollow.gateway import _pages
from berylhollow.gateway import _refusal
from berylhollow.gateway import _relay
from berylhollow.gateway import _workspaces
from berylhollow import messages
from berylhollow import settings as all_settings
from berylhollow import shell
from berylhollow import stream

LOG = logging.getLogger(__name__)

INCARNATION_BYTES = 8
REQUEST_DURATION = 'http.server.request.duration'
FIRST_TOKEN_DURATION = 'berylhollow.first_token.duration'

AddMetric = typing.Callable[..., None]
EffectHandler = typing.Callable[[typing.Any], None]


class Shell:
    """All I/O of one gateway around one reducer.

    ``exchanges`` maps request ids to the requests without a complete answer
    yet, ``relays`` maps attempt ids to the answers being relayed. ``ended``
    is set to the exit code when the reducer has nothing more to do.
    ``count`` takes the name, value and attributes of a metric.
    """

    def __init__(
        self,
        settings: all_settings.GatewaySettings,
        reduce: typing.Callable,
        state: typing.Any,
        count: AddMetric,
        metrics_text: typing.Callable[[], bytes],
        time: clock.Clock | None = None,
        deployment: _deployment.Deployment | None = None,
    ):
        self.settings = settings
        environment = deployment or _deployment.default_deployment(settings)
        self.last_answers_timeout_s = (
            environment.last_answers_ms / clock.MS_PER_SECOND
        )
        self.time = time or clock.MonotonicClock()
        self.pages = _pages.Pages(self, metrics_text)
        self.count = count
        self.stopping = False
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.exchanges: dict[str, _exchange.Exchange] = {}
        self.relays: dict[str, _relay.Relay] = {}
        self.tasks = shell.Tasks()
        self.ended: asyncio.Future[int] = asyncio.Future()
        self.driver = shell.Driver(reduce, state, self.time, {})
        self.driver.failed.add_done_callback(self._on_driver_failed)
        self.feed = self.driver.feed
        self.platform = shell.PlatformCalls(
            environment.log,
            environment.instances,
            self.feed,
            self.time,
            self.tasks,
            environment.shared_log and environment.shared_log.source,
        )
        self.shared_log = environment.shared_log
        if self.shared_log is not None:
            self.shared_log.publish = self._on_stream_part_read
            self.shared_log.has_listeners = self._has_relays
        self.links = _links.Links(
            settings,
            self.incarnation,
            self.time,
            self,
            environment.link_options,
        )
        self.runs: _direct_runs.DirectRuns | None = None
        if environment.endpoint_calls is not None:
            self.runs = _direct_runs.DirectRuns(
                environment.endpoint_calls, self, self.tasks
            )
        self.front_end = _http.FrontEnd(settings, self, environment.dialect)
        self.driver.handlers = self._handlers()

    def _handlers(self) -> dict:
        of_requests = {
            effects.AnswerError: self._begin_complete_answer,
            effects.AnswerStored: self._begin_complete_answer,
            effects.BeginAnswer: self._begin_relay,
            effects.CompleteAnswer: self._complete_answer,
            effects.BreakAnswer: self._break_answer,
        }
        return {
            **{
                effect: functools.partial(self._carry_out, handler)
                for effect, handler in of_requests.items()
            },
            effects.Send: self._send_message,
            effects.OpenLink: self.links.open,
            effects.CloseLink: self.links.close,
            effects.ResumeAnswer: self._resume_answer,
            effects.CheckLife: self._check_life,
            effects.Count: self._count,
            effects.Log: shell.write_log,
            effects.Exit: self._exit,
            effects.TakeStreamPart: self._take_stream_part,
            **self.platform.handlers(),
        }

    async def start(self) -> None:
        """Start listening and following the platform. Raises OSError."""
        await self.links.start()
        await self.front_end.start()
        ports = {
            'port': self.front_end.port,
            'peer_port': self.links.server.port,
        }
        LOG.info('listening', extra=ports)
        self.feed(events.Started(self.time.now_ms(), self.incarnation))
        self.tasks.start(self.driver.tick(self.settings.tick_ms))

    async def stop(self) -> int:
        """Stop gracefully and return the exit code.

        A planned stop must not cut off requests. The load balancer keeps
        sending until it sees that this gateway is not ready; only then the
        listener and the idle connections are closed. Requests in flight
        are finished; the reducer decides when to end.
        """
        self.stopping = True
        if not self.ended.done():
            notice_ms = self.settings.stop_notice_ms
            self.feed(events.StopAnnounced(self.time.now_ms(), notice_ms))
            await self.notice()
        self.front_end.stop_listening()
        self.feed(events.StopRequested(self.time.now_ms()))
        code = await self.ended
        await self._wait_for_answers()
        await self.close()
        return code

    async def notice(self) -> None:
        """Wait until the load balancer has seen that this gateway stops."""
        notice_ms = self.settings.stop_notice_ms
        await asyncio.sleep(notice_ms / clock.MS_PER_SECOND)

    async def close(self) -> None:
        """Close all listeners, tasks, links and connections at once."""
        await self.front_end.close()
        await self.tasks.stop()
        await self.links.stop()
        await self.platform.close()
        if self.runs is not None:
            await self.runs.close()

    async def _wait_for_answers(self) -> None:
        """Wait until final answers are written, up to a timeout."""
        try:
            async with asyncio.timeout(self.last_answers_timeout_s):
                await self.front_end.wait_until_idle()
        except TimeoutError:
            LOG.warning('callers cut off', extra={'in_flight': self.in_flight})

    @property
    def in_flight(self) -> int:
        """Number of requests without a complete answer."""
        return len(self.exchanges)

    # Called by the front end.

    def now_ms(self) -> int:
        return self.time.now_ms()

    async def gateway_page(self, path: str) -> web.Response | None:
        return await self.pages.get(path)

    def request_arrived(self, exchange: _exchange.Exchange) -> None:
        request = exchange.request
        self.exchanges[request.request_id] = exchange
        if self.driver.failed.done():
            self._answer_failure(exchange, errors.Ran.NOT_RUN)
            return
        self.feed(
            events.RequestArrived(
                exchange.arrived_ms,
                request,
                random.random(),
                exchange.begun_ms,
            )
        )

    def caller_gone(self, exchange: _exchange.Exchange) -> None:
        self.feed(
            events.CallerGone(self.now_ms(), exchange.request.request_id)
        )

    def answer_relayed(
        self, exchange: _exchange.Exchange, body: bytes | None
    ) -> None:
        begin = exchange.relay.begin
        self.feed(
            events.AnswerRelayed(
                self.now_ms(),
                begin.request_id,
                begin.attempt_id,
                begin.status,
                begin.headers,
                body,
                exchange.relay.longest_gap_ms,
            )
        )

    def answer_broken(self, exchange: _exchange.Exchange) -> None:
        self._report_broken_answer(exchange.relay)

    def forget_exchange(self, exchange: _exchange.Exchange) -> None:
        self.exchanges.pop(exchange.request.request_id, None)
        if exchange.relay is not None:
            self.relays.pop(exchange.relay.begin.attempt_id, None)
        state = self.driver.state
        service = exchange.service
        if exchange.relay is None:
            service = _pages.declared_service(state, exchange.request)
            # A refused request counts for its service too: otherwise a
            # report would show an untouched error budget in an outage.
            exchange.service = service or exchange.service
        exchange.log(self.now_ms(), state.revision)
        self._record_metrics(exchange, service)

    def header_bytes(self) -> int:
        configuration = self.driver.state.follower.current
        if configuration is None:
            return following.DEFAULT_HEADER_BYTES
        return configuration.header_bytes

    def request_refused(self, kind: errors.Kind) -> None:
        ran = errors.ANSWERS[kind].ran
        self._count_error('', kind, ran)

    def head_refusal(
        self, head: events.RequestHead, shown_id: str
    ) -> _refusal.Refusal | None:
        now_ms = self.now_ms()
        state = self.driver.state
        refusal = _workspaces.refused_by_head(state, head, now_ms)
        if refusal is not None:
            self.feed(
                events.HeadRefused(
                    now_ms,
                    shown_id,
                    head,
                    refusal.kind,
                    refusal.retry_after_ms,
                )
            )
        return refusal

    def _record_metrics(
        self, exchange: _exchange.Exchange, service: str
    ) -> None:
        kind = exchange.kind.value if exchange.kind else ''
        attributes = (
            ('http.request.method', exchange.request.method),
            ('http.response.status_code', str(exchange.status)),
            ('berylhollow.service', service),
            ('error.type', kind),
        )
        duration_ms = self.now_ms() - exchange.arrived_ms
        self.count(
            REQUEST_DURATION, duration_ms / clock.MS_PER_SECOND, attributes
        )
        if exchange.first_byte_ms is not None:
            time_to_first_byte_ms = (
                exchange.first_byte_ms - exchange.arrived_ms
            )
            self.count(
                FIRST_TOKEN_DURATION,
                time_to_first_byte_ms / clock.MS_PER_SECOND,
                (('berylhollow.service', service),),
            )
        if exchange.kind is not None:
            self._count_error(service, exchange.kind, exchange.ran)

    def _count_error(
        self, service: str, kind: errors.Kind, ran: errors.Ran
    ) -> None:
        attributes = (
            ('berylhollow.service', service),
            ('error.type', kind.value),
            ('berylhollow.ran', ran.value),
        )
        self.count('berylhollow.errors', 1, attributes)

    def notice_received(
        self, peer: str, sent_ms: int, notice: events.EndpointNotice
    ) -> None:
        self.feed(events.NoticeReceived(self.now_ms(), peer, sent_ms, notice))

    def endpoint_outlived(
        self, peer: str, since_ms: int, until_ms: int
    ) -> None:
        """Tell the reducer between which times a process was up."""
        self.feed(
            events.EndpointOutlived(self.now_ms(), peer, since_ms, until_ms)
        )

    def _check_life(self, effect: effects.CheckLife) -> None:
        if self.runs is not None:
            self.runs.check_life(effect)

    def listed_instance(self, name: str) -> events.Instance | None:
        """Return the listed instance of an endpoint, None if unknown."""
        endpoint = self.driver.state.endpoints.get(name)
        return None if endpoint is None else endpoint.instance

    def check_path(self, service: str) -> str:
        """Return where endpoints of a service answer health checks."""
        view = self.driver.state.follower.current
        if view is None:
            return following.DEFAULT_CHECK_PATH
        return view.check_path(service)

    # Called by the links and the direct runs.

    def message(self, peer: str, message: messages.Message) -> None:
        if type(message) is messages.Data:
            if message.sequence == 0:
                self._feed_message(peer, message)
            relay = self._relay_for_frame(peer, message)
            if relay is not None:
                relay.note_arrival(self.now_ms())
                self._accept_frame(relay, message)
        elif type(message) is messages.End:
            self._handle_end_frame(peer, message)
        else:
            self._feed_message(peer, message)

    def _feed_message(self, peer: str, message: messages.Message) -> None:
        self.feed(events.MessageReceived(self.now_ms(), peer, message))

    def _relay_for_frame(
        self, peer: str, frame: _relay.Frame
    ) -> _relay.Relay | None:
        """Return the relay of a frame, None if its attempt is not current.

        Frames of an attempt that was given up, or of a peer that was never
        asked, would otherwise be mixed into another answer. They are
        counted as late.
        """
        relay = self.relays.get(frame.attempt_id)
        if relay is None or relay.begin.peer != peer:
            self.count('berylhollow.late_frames')
            return None
        return relay

    def _handle_end_frame(self, peer: str, frame: messages.End) -> None:
        relay = self._relay_for_frame(peer, frame)
        # The peer resends an end that arrived before its frames.
        if relay is not None and self._accept_frame(relay, frame):
            self._feed_message(peer, frame)

    def _accept_frame(self, relay: _relay.Relay, frame: _relay.Frame) -> bool:
        try:
            return relay.accept(frame)
        except stream.StreamError as error:
            LOG.warning('answer is broken: %s', error)
            self._report_broken_answer(relay)
            return False

    def _report_broken_answer(self, relay: _relay.Relay) -> None:
        begin = relay.begin
        self.feed(
            events.AnswerBroken(
                self.now_ms(), begin.request_id, begin.attempt_id
            )
        )

    # Effect handlers.

    def _carry_out(self, handler: EffectHandler, effect: typing.Any) -> None:
        """Carry out an effect; an exception fails only its request."""
        try:
            handler(effect)
        except Exception as error:
            request_id = effect.request_id
            LOG.exception(
                'exception in the handling of a request',
                extra={'request_id': request_id},
            )
            self.count('berylhollow.request_exceptions')
            exchange = self.exchanges.get(request_id)
            if exchange is not None:
                exchange.fail(error)
                self.caller_gone(exchange)

    def _send_message(self, effect: effects.Send) -> None:
        self._deliver(effect.peer, effect.message)

    def _deliver(self, peer: str, message: messages.Message) -> None:
        """Send a message to a peer, over its link or as a direct run."""
        if self.runs is not None and self.runs.is_attempt_message(message):
            self.runs.handle_message(peer, message)
        else:
            self.links.send(peer, message)

    def _begin_complete_answer(
        self, effect: effects.AnswerError | effects.AnswerStored
    ) -> None:
        exchange = self.exchanges.get(effect.request_id)
        if exchange is not None:
            exchange.begin(effect)

    def _begin_relay(self, effect: effects.BeginAnswer) -> None:
        exchange = self.exchanges.get(effect.request_id)
        if exchange is None:
            return
        relay = _relay.Relay(effect, self._deliver)
        exchange.service = _pages.endpoint_service(
            self.driver.state, effect.peer
        )
        exchange.begin(effect)
        self.relays[effect.attempt_id] = relay
        exchange.relay = relay

    def _complete_answer(self, effect: effects.CompleteAnswer) -> None:
        relay = self.relays.get(effect.attempt_id)
        if relay is None:
            return
        try:
            relay.finish(effect.count)
        except stream.StreamError as error:
            LOG.warning('answer is broken: %s', error)
            self._report_broken_answer(relay)

    def _break_answer(self, effect: effects.BreakAnswer) -> None:
        relay = self.relays.get(effect.attempt_id)
        if relay is not None:
            relay.fail(effect)
            return
        # The reducer has failed before the answer began.
        self._begin_complete_answer(
            effects.AnswerError(effect.request_id, effect.kind, effect.ran)
        )

    def _resume_answer(self, effect: effects.ResumeAnswer) -> None:
        relay = self.relays.get(effect.attempt_id)
        if relay is not None:
            relay.resume()
            return
        self._deliver(effect.peer, messages.Resume(effect.attempt_id, 0))

    def _on_stream_part_read(self, part: messages.AnyStreamPart) -> None:
        self.feed(events.StreamPartRead(self.now_ms(), part))

    def _has_relays(self) -> bool:
        return bool(self.driver.state.relays)

    def _take_stream_part(self, effect: effects.TakeStreamPart) -> None:
        if self.shared_log is not None:
            self.shared_log.add_part(effect.part)

    def _count(self, effect: effects.Count) -> None:
        self.count(effect.name, effect.value, effect.attributes)

    def _exit(self, effect: effects.Exit) -> None:
        if not self.ended.done():
            self.ended.set_result(effect.code)

    def _on_driver_failed(self, failed: asyncio.Future) -> None:
        if failed.cancelled():
            return
        self.stopping = True
        for exchange in self.exchanges.values():
            self._answer_failure(exchange, errors.Ran.UNKNOWN)
        if not self.ended.done():
            self.ended.set_result(1)

    def _answer_failure(
        self, exchange: _exchange.Exchange, ran: errors.Ran
    ) -> None:
        """Answer INTERNAL: the reducer will not decide on the request."""
        if exchange.relay is not None:
            exchange.break_off(ran)
            return
        request_id = exchange.request.request_id
        kind = errors.Kind.INTERNAL
        exchange.begin(effects.AnswerError(request_id, kind, ran))
