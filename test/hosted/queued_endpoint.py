"""A gateway before endpoints whose queue is long, each with its sidecar.

The reducers, the gateway's direct calls and the sidecars' endpoint calls are
the real ones. An endpoint is the stand-in's model without its HTTP server, and
everything runs on virtual time. A new version of the adapter is named while
the queue is full.
"""

import asyncio
import collections
import dataclasses
import itertools
import random

from berylhollow import answer_body
from berylhollow import clock
from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import gateway
from berylhollow.gateway import _direct_runs
from berylhollow.hosted import gateway_process
from berylhollow import loader
from berylhollow.loader import _endpoint_calls
from berylhollow import messages
from berylhollow import outgoing
from berylhollow import platform
from berylhollow import shell
from berylhollow.standin import endpoint_model
from berylhollow.util import addresses
from test import builders as samples
from test.hosted import crowd
from test import platform_builders as builders
from test import virtual_loop

GATEWAY = 'g1'
FIRST = 'i-1'
SECOND = 'i-2'
ADDRESSES = {FIRST: '10.0.0.1:80', SECOND: '10.0.0.2:80'}
ADAPTER = 'a3'
OTHER_ADAPTER = 'a4'
GATEWAY_TICK_MS = 50
SIDECAR_TICK_MS = 20
FIRST_REQUEST_MS = 500
LIMIT_MS = 5000
"""The default of ``Bounds.version_ms``."""

RETRY_SLACK = 1000
"""More retries than are needed, so that none is held back."""

NOT_RUN_REASONS = {
    endpoint_model.MISDIRECTED_STATUS: platform.NotRunReason.ADAPTER_ABSENT,
    endpoint_model.UNAVAILABLE_STATUS: platform.NotRunReason.FULL,
}


@dataclasses.dataclass(frozen=True)
class Load:
    """Requests for one adapter, and the endpoints that they meet.

    The first endpoint holds version 1. Version 2 is named at ``named_ms``.
    From then on runs take ``slow_run_ms``, so that requests wait longer than
    the gateway expects. A second endpoint, which holds no adapter, is listed
    at ``second_ms``. ``loses_orders`` is whether orders to the first are lost.
    At ``blocked_ms``, if set, requests for another adapter take all slots of
    the first endpoint for ``block_ms``.
    """

    seed: int = 1
    slots: int = 2
    places: int = 5
    run_ms: int = 500
    slow_run_ms: int = 3000
    interval_ms: int = 200
    named_ms: int = 7500
    second_ms: int = 8000
    last_request_ms: int = 8800
    end_ms: int = 20_000
    loses_orders: bool = False
    blocked_ms: int | None = None
    block_ms: int = 8000


@dataclasses.dataclass
class Sent:
    """A request at an endpoint, from ``at_ms`` to ``ended_ms``.

    ``version`` is the one with which it began to run.
    """

    request_id: str
    endpoint: str
    at_ms: int
    version: int | None = None
    begun_ms: int | None = None
    not_run_ms: int | None = None
    ended_ms: int | None = None


@dataclasses.dataclass
class RunBody:
    """The body of an answer; it ends with the run."""

    run: asyncio.Task
    is_delimited_by_close: bool = False
    is_chunked: bool = False
    content_length: int = 0
    content_type: str = 'application/json'
    headers: dict = dataclasses.field(default_factory=dict)

    @property
    def content(self):
        return self

    async def readany(self):
        await asyncio.wait([self.run])
        return b''

    def close(self):
        self.run.cancel()


class Endpoint:
    """An endpoint, also as a ``platform.EndpointControlClient``."""

    def __init__(self, world: 'World', name: str, loses_orders: bool):
        load = world.load
        self.world = world
        self.name = name
        self.loses_orders = loses_orders
        self.peer = addresses.sidecar_peer(ADDRESSES[name])
        self.model = endpoint_model.EndpointModel(load.slots, load.places)
        self.model.models = {builders.MODEL: {}}
        options = loader.Options(instance=name, service=builders.MODEL_SERVICE)
        self.sidecar = shell.Driver(
            loader.reduce,
            loader.State(options),
            world.time,
            collections.defaultdict(lambda: lambda effect: None),
        )
        calls = _endpoint_calls.EndpointCalls(
            self, name, self.sidecar.feed, world.time, world.tasks
        )
        self.sidecar.handlers |= {
            **calls.handlers(),
            effects.Send: lambda effect: world.soon(
                world.gateway, self.peer, effect.message
            ),
        }

    async def state(self) -> platform.EndpointState:
        held = self.model.models[builders.MODEL].items()
        return platform.EndpointState(
            orders=self.model.orders,
            models=(builders.MODEL,),
            has_order_in_progress=False,
            held=tuple(
                messages.AdapterVersion(builders.adapter_name(name), str(n))
                for name, n in held
            ),
            loading=tuple(
                messages.AdapterVersion(*text.split('@'))
                for text in self.model.loading
            ),
            waiting=len(self.model.waiting),
            running=len(self.model.running),
        )

    async def order(self, order: platform.Order) -> events.OrderVerdict:
        if self.loses_orders:
            raise outgoing.CallOutcomeUnknown('lost')
        model, _, adapter = order.name.partition('/')
        opcode = 'load' if order.load else 'unload'
        status = self.model.order(opcode, model, adapter, order.orders)
        if status == endpoint_model.CONFLICT_STATUS:
            return events.OrderVerdict.CONFLICT
        return events.OrderVerdict.ACCEPTED

    async def serve(self, offer: messages.Offer, head: asyncio.Future) -> None:
        """Run a request once it has a slot; a cancellation ends it."""
        now_ms = self.world.now_ms
        sent = Sent(offer.request_id, self.name, now_ms())
        self.world.sent.append(sent)
        model, _, adapter = offer.adapter.adapter.partition('/')
        slot = self.model.slot(model, adapter, offer.adapter.version)
        try:
            async with slot as sent.version:
                sent.begun_ms = now_ms()
                head.set_result(answer(200, asyncio.current_task()))
                await sleep_ms(self.world.run_ms(adapter))
        except endpoint_model.NotRunError as error:
            sent.not_run_ms = now_ms()
            head.set_result(answer(error.status, asyncio.current_task()))
        finally:
            sent.ended_ms = now_ms()


class World:
    """One run of a load.

    It is the owner of the gateway's direct runs, and the
    ``platform.EndpointClient`` through which they send.
    """

    def __init__(self, load: Load):
        self.load = load
        self.time = virtual_loop.LoopClock()
        self.chance = random.Random(load.seed)
        self.tasks = shell.Tasks()
        self.sent: list[Sent] = []
        self.answered: list[str] = []
        self.refused: dict[str, errors.Ran] = {}
        self.endpoints = {
            name: Endpoint(self, name, load.loses_orders and name == FIRST)
            for name in ADDRESSES
        }
        self.by_peer = {x.peer: x for x in self.endpoints.values()}
        held = self.endpoints[FIRST].model.models[builders.MODEL]
        held |= {ADAPTER: 1, OTHER_ADAPTER: 1}
        node = builders.node(instance=GATEWAY, retry_slack=RETRY_SLACK)
        settings = gateway_process.gateway_settings(node)
        self.gateway = shell.Driver(
            gateway.reduce,
            gateway_process.gateway_state(node, settings),
            self.time,
            collections.defaultdict(lambda: lambda effect: None),
        )
        self.gateway.handlers |= {
            effects.Send: self.send_from_gateway,
            effects.OpenLink: self.open_link,
            effects.AnswerError: self.answer_error,
        }
        self.runs = _direct_runs.DirectRuns(self, self, self.tasks)

    async def run(self) -> None:
        """Play the whole load."""
        load = self.load
        self.gateway.feed(events.Started(0, 'i1'))
        self.tasks.start(self.tick(self.gateway, GATEWAY_TICK_MS))
        for endpoint in self.endpoints.values():
            endpoint.sidecar.feed(events.Started(0, 'i1'))
            self.tasks.start(self.tick(endpoint.sidecar, SIDECAR_TICK_MS))
        route = builders.route(MaxAttempts=2, TimeoutMs=20_000)
        self.publish(builders.configuration_record(routes=[route]))
        self.list_endpoints(FIRST)
        self.tasks.start(self.send_requests())
        self.tasks.start(self.block())
        self.tasks.start(self.name_version())
        await sleep_ms(load.second_ms)
        self.list_endpoints(FIRST, SECOND)
        await sleep_ms(load.end_ms - load.second_ms)
        await self.tasks.stop()

    async def name_version(self) -> None:
        await sleep_ms(self.load.named_ms)
        for endpoint in self.endpoints.values():
            endpoint.model.newest[ADAPTER] = 2
        self.publish(builders.version_record(version=2))

    async def tick(self, driver: shell.Driver, every_ms: int) -> None:
        while True:
            await sleep_ms(every_ms)
            driver.feed(events.Ticked(self.now_ms(), self.chance.random()))

    def publish(self, record: bytes) -> None:
        """Let the gateway's read of the log, which waits, return a record."""
        now_ms = self.now_ms()
        from_offset = self.gateway.state.follower.next_offset
        if from_offset is not None:
            self.read_log(from_offset, now_ms)
        self.read_log(from_offset, now_ms, record)

    def read_log(
        self, from_offset: int | None, begun_ms: int, *records: bytes
    ) -> None:
        first = from_offset or 0
        entries = tuple(
            messages.LogEntry(offset, 0, record)
            for offset, record in enumerate(records, start=first)
        )
        self.gateway.feed(
            events.LogRead(
                self.now_ms(),
                platform.CONFIGURATION_STREAM,
                entries,
                0,
                first + len(records),
                begun_ms=begun_ms,
                from_offset=from_offset,
            )
        )

    def list_endpoints(self, *names: str) -> None:
        rows = tuple(
            samples.instance(
                name,
                service=builders.MODEL_SERVICE,
                address=ADDRESSES[name],
                direct=True,
                capacity=self.load.slots,
                models=(builders.MODEL,),
            )
            for name in names
        )
        self.gateway.feed(events.InstancesListed(self.now_ms(), rows))

    async def send_requests(self) -> None:
        await sleep_ms(FIRST_REQUEST_MS)
        for number in itertools.count(1):
            if self.now_ms() > self.load.last_request_ms:
                return
            self.send_request(f'r{number}', ADAPTER)
            await sleep_ms(self.load.interval_ms)

    async def block(self) -> None:
        """Take all slots of the first endpoint with another adapter."""
        if self.load.blocked_ms is None:
            return
        await sleep_ms(self.load.blocked_ms)
        for number in range(self.load.slots):
            self.send_request(f'b{number}', OTHER_ADAPTER)

    def send_request(self, request_id: str, adapter: str) -> None:
        request = crowd.request(request_id, builders.adapter_name(adapter))
        arrived = events.RequestArrived(
            self.now_ms(), request, self.chance.random()
        )
        self.gateway.feed(arrived)

    def answer_error(self, effect: effects.AnswerError) -> None:
        self.refused[effect.request_id] = effect.ran

    def run_ms(self, adapter: str) -> int:
        load = self.load
        if adapter == OTHER_ADAPTER:
            return load.block_ms
        is_slow = self.now_ms() >= load.named_ms
        return load.slow_run_ms if is_slow else load.run_ms

    # The links

    def open_link(self, effect: effects.OpenLink) -> None:
        asyncio.get_running_loop().call_soon(self.link, effect.peer)

    def link(self, peer: str) -> None:
        now_ms, role = self.now_ms(), events.Role
        self.gateway.feed(events.LinkOpened(now_ms, peer, role.ENDPOINT, 'i1'))
        self.by_peer[peer].sidecar.feed(
            events.LinkOpened(now_ms, GATEWAY, role.GATEWAY, 'i1')
        )

    def send_from_gateway(self, effect: effects.Send) -> None:
        if self.runs.is_attempt_message(effect.message):
            self.runs.handle_message(effect.peer, effect.message)
        elif effect.peer in self.by_peer:
            sidecar = self.by_peer[effect.peer].sidecar
            self.soon(sidecar, GATEWAY, effect.message)

    def soon(self, driver: shell.Driver, peer: str, message) -> None:
        """Deliver a message after the event that is being processed."""
        received = events.MessageReceived(self.now_ms(), peer, message)
        asyncio.get_running_loop().call_soon(driver.feed, received)

    # The direct runs

    def now_ms(self) -> int:
        return self.time.now_ms()

    def listed_instance(self, name: str) -> events.Instance:
        return self.gateway.state.endpoints[name].instance

    def check_path(self, _service: str) -> str:
        return '/healthz'

    def message(self, peer: str, message) -> None:
        if not isinstance(message, messages.End):
            self.soon(self.gateway, peer, message)
            return
        request_id = message.attempt_id.partition('.')[0]
        self.answered.append(request_id)
        relayed = events.AnswerRelayed(
            self.now_ms(), request_id, message.attempt_id, 200
        )
        self.gateway.feed(relayed)

    async def send(
        self,
        offer: messages.Offer,
        _address: str,
        name: str,
        _check_path: str,
    ) -> platform.Answer:
        head = asyncio.get_running_loop().create_future()
        run = self.tasks.start(self.endpoints[name].serve(offer, head))
        try:
            return await head
        except asyncio.CancelledError:
            run.cancel()
            raise

    # What was seen

    def begun(self, version: int) -> list[Sent]:
        return [sent for sent in self.sent if sent.version == version]

    def begun_too_late(self) -> list[Sent]:
        """Return what began on version 1 after the limit."""
        last_ms = self.load.named_ms + LIMIT_MS
        return [sent for sent in self.begun(1) if sent.begun_ms > last_ms]

    def returned(self) -> list[Sent]:
        """Return what an endpoint refused after a wait in its queue."""
        return [
            sent
            for sent in self.sent
            if sent.not_run_ms is not None and sent.not_run_ms > sent.at_ms
        ]

    def dropped(self) -> list[Sent]:
        """Return what left a queue because its connection was closed."""
        return [
            sent
            for sent in self.sent
            if sent.begun_ms is None and sent.not_run_ms is None
        ]

    def was_full(self) -> bool:
        """Tell whether the queue refused a request before the naming."""
        return any(
            sent.not_run_ms == sent.at_ms < self.load.named_ms
            for sent in self.sent
        )


async def sleep_ms(duration_ms: float) -> None:
    await asyncio.sleep(duration_ms / clock.MS_PER_SECOND)


def answer(status: int, run: asyncio.Task) -> platform.Answer:
    reason = NOT_RUN_REASONS.get(status)
    response = RunBody(run)
    body = answer_body.BodyReader(response, lambda _: None)
    return platform.Answer(
        status, (), reason, True, True, None, response, body
    )


def play(load: Load) -> World:
    """Return the world after a load."""

    async def main():
        world = World(load)
        await world.run()
        return world

    return virtual_loop.run(main())
