"""Simulates gateways whose links are slow for the size of the configuration.

The gateways and sidecars are composed as their processes compose them, the
store is the stand-in without its HTTP server, and everything that a gateway
receives shares the rate of its link. It runs on virtual time.
"""

import asyncio
import collections
import dataclasses
import json

from berylhollow import clock
from berylhollow import effects
from berylhollow import events
from berylhollow import gateway
from berylhollow.hosted import gateway_process
from berylhollow.link import _codec
from berylhollow import loader
from berylhollow import messages
from berylhollow import platform
from berylhollow import shell
from berylhollow.standin import metadata_store
from berylhollow.util import addresses
from berylhollow import workspaces
from test import builders as samples
from test.hosted import rated_link
from test import platform_builders as builders
from test import virtual_loop

TICK_MS = 50
HEARTBEAT_MS = 1200
REQUEST_INTERVAL_MS = 25
SIDECAR_COUNT = 3
"""In each failure domain."""

DOMAIN = 'sal-kista'

OLD_SERVICE = builders.PLAIN_SERVICE
NEW_SERVICE = 'wuno96c'
PATH = '/puxa403/x'
KEY = 'k-hule930'


@dataclasses.dataclass(frozen=True)
class Routed:
    """A request that a gateway sent to an endpoint of a service."""

    at_ms: int
    gateway: str
    service: str


@dataclasses.dataclass(frozen=True)
class Refused:
    """A request that a gateway refused."""

    at_ms: int
    gateway: str
    kind: str
    has_key: bool


class Gateway:
    """One gateway with its own link and its own connection to the store."""

    def __init__(
        self,
        world: 'World',
        name: str,
        link: rated_link.SharedLink,
        domain: str,
    ):
        self.world = world
        self.name = name
        self.domain = domain
        self.link = link
        self.time = world.time
        self.links = {}
        self.logged = []
        self.request_count = 0
        self.gets_records = True
        self.tasks = shell.Tasks()
        node = builders.node(
            instance=name, failure_domain=domain, **world.bounds
        )
        settings = gateway_process.gateway_settings(node)
        self.session = rated_link.LinkedSession(world.store, link)
        client = platform.StoreClient('store', self.session, time=self.time)
        self.shared = gateway_process.shared_log(node, client, self.time)
        self.driver = shell.Driver(
            gateway.reduce,
            gateway_process.gateway_state(node, settings),
            self.time,
            collections.defaultdict(lambda: lambda effect: None),
        )
        calls = shell.PlatformCalls(
            self.shared,
            gateway_process.endpoint_list(node, self.shared, self.time),
            self.driver.feed,
            self.time,
            self.tasks,
            client,
        )
        self.shared.publish = self.publish
        self.shared.has_listeners = lambda: bool(self.state.relays)
        self.driver.handlers |= {
            **calls.handlers(),
            effects.Log: self.log,
            effects.Send: self.send,
            effects.OpenLink: self.open_link,
            effects.AnswerError: self.answer_error,
            effects.TakeStreamPart: lambda e: self.shared.add_part(e.part),
        }

    @property
    def state(self):
        return self.driver.state

    def cut_off(self):
        """Cut it off from the store and from what others read of it."""
        self.session.is_cut = True
        self.gets_records = False

    def start(self):
        self.driver.feed(events.Started(self.time.now_ms(), 'i1'))
        self.tasks.start(self.driver.tick(TICK_MS))
        self.tasks.start(self.send_requests())
        self.tasks.start(self.link.carry_background())

    def publish(self, part):
        self.driver.feed(events.StreamPartRead(self.time.now_ms(), part))

    def log(self, effect):
        self.logged.append((self.time.now_ms(), effect.text, effect.fields))

    def open_link(self, effect):
        self.tasks.start(self.world.link(self, effect.peer))

    def send(self, effect):
        if isinstance(effect.message, messages.Offer):
            self.offer(effect.peer, effect.message)
        elif effect.peer in self.links:
            sidecar = self.world.sidecars[effect.peer]
            received = events.MessageReceived(
                self.time.now_ms() + rated_link.LATENCY_MS,
                self.name,
                effect.message,
            )
            self.world.later(
                rated_link.LATENCY_MS, sidecar.driver.feed, received
            )

    async def receive_from(self, peer, queue):
        """Receive the messages of a sidecar in order, over the link."""
        while True:
            message = await queue.get()
            if self.session.is_cut and isinstance(
                message, messages.AnyStreamPart
            ):
                continue
            is_record = isinstance(message, messages.KeptRecord)
            if is_record and not self.gets_records:
                continue
            size = len(_codec.shared_codec().encode(message))
            await self.link.transfer(size, type(message).__name__)
            self.driver.feed(
                events.MessageReceived(self.time.now_ms(), peer, message)
            )

    async def send_requests(self):
        """Send requests with and without a key in turn, without end."""
        while True:
            await rated_link.sleep_ms(REQUEST_INTERVAL_MS)
            if not self.state.has_required_data:
                continue
            self.request_count += 1
            has_key = self.request_count % 2 == 0
            credential = workspaces.digest(KEY) if has_key else None
            request = samples.request(
                f'{self.name}-{has_key:d}-{self.request_count}',
                host=builders.HOST,
                path=PATH,
                adapter=None,
                credential=credential,
            )
            arrived = events.RequestArrived(self.time.now_ms(), request, 0.5)
            self.driver.feed(arrived)

    def offer(self, peer, offer):
        """Note where a request goes; the endpoint answers it at once."""
        service = self.state.endpoints[peer].instance.service
        now_ms = self.time.now_ms()
        self.world.routed.append(Routed(now_ms, self.name, service))
        started = messages.Started(offer.attempt_id, 200, (), None)
        for event in (
            events.MessageReceived(now_ms, peer, started),
            events.AnswerRelayed(
                now_ms, offer.request_id, offer.attempt_id, 200
            ),
        ):
            self.driver.feed(event)

    def answer_error(self, effect):
        has_key = effect.request_id.split('-')[-2] == '1'
        self.world.refused.append(
            Refused(self.time.now_ms(), self.name, effect.kind.value, has_key)
        )


class Sidecar:
    """The loader beside one model endpoint."""

    def __init__(self, world, peer, instance):
        self.world = world
        self.peer = peer
        self.queues = {}
        options = loader.Options(
            instance=instance, service=builders.MODEL_SERVICE
        )
        self.driver = shell.Driver(
            loader.reduce,
            loader.State(options),
            world.time,
            collections.defaultdict(lambda: lambda effect: None),
        )
        self.driver.handlers |= {
            effects.ReadAdapters: self.read_adapters,
            effects.Send: self.send,
        }

    def start(self):
        now_ms = self.world.time.now_ms()
        self.driver.feed(events.Started(now_ms, f'{self.peer}#1'))
        self.world.tasks.start(self.driver.tick(TICK_MS))

    def read_adapters(self, effect):
        told = events.AdaptersReported(
            self.world.time.now_ms(),
            effect.read,
            0,
            (builders.MODEL,),
            False,
            (),
            (),
            0,
            0,
        )
        self.world.later(1, self.driver.feed, told)

    def send(self, effect):
        if effect.peer in self.queues:
            self.queues[effect.peer].put_nowait(effect.message)


class World:
    """Failure domains: their store, sidecars, endpoints and gateways.

    ``rates`` has the link rate of each gateway, ``domains`` their failure
    domains, each of which has sidecars; by default it is the same. The one
    with the lowest name, the first, becomes the reader. The configuration at
    the start has ``first_route_count`` routes. Processes start
    ``start_pause_ms`` apart; if they start at once, their checks of the keys
    stay in step.
    """

    def __init__(
        self,
        rates,
        background_share,
        first_route_count,
        start_pause_ms,
        domains=(),
        **bounds,
    ):
        self.time = virtual_loop.LoopClock()
        self.tasks = shell.Tasks()
        self.store = metadata_store.MetadataStore()
        self.bounds = bounds
        self.first_route_count = first_route_count
        self.start_pause_ms = start_pause_ms
        self.routed = []
        self.refused = []
        self.confirmed_ms = {}
        self.sidecars = {}
        self.gateways = [
            Gateway(
                self,
                f'front-{n}',
                rated_link.SharedLink(rate, background_share),
                domain,
            )
            for n, (rate, domain) in enumerate(
                zip(rates, domains or [DOMAIN] * len(rates), strict=True)
            )
        ]

    def later(self, after_ms, call, *arguments):
        asyncio.get_running_loop().call_later(
            after_ms / clock.MS_PER_SECOND, call, *arguments
        )

    async def run(self, operate, until_ms):
        """Start everything and let an operator work until a time."""
        await self.publish(
            configuration(1, OLD_SERVICE, self.first_route_count)
        )
        domains = sorted({each.domain for each in self.gateways})
        for number in range(SIDECAR_COUNT * len(domains)):
            address = f'10.0.0.{number + 1}:80'
            peer = addresses.sidecar_peer(address)
            self.sidecars[peer] = Sidecar(self, peer, f'i-{number}')
            domain = domains[number // SIDECAR_COUNT]
            self.add_endpoint(
                f'i-{number}', address, builders.MODEL_SERVICE, domain
            )
        self.add_endpoint('i-old', '10.0.1.1:80', OLD_SERVICE)
        self.add_endpoint('i-new', '10.0.1.2:80', NEW_SERVICE)
        for process in (*self.sidecars.values(), *self.gateways):
            process.start()
            await rated_link.sleep_ms(self.start_pause_ms)
        self.tasks.start(operate(self))
        await rated_link.sleep_ms(until_ms)
        for gateway_ in self.gateways:
            await gateway_.tasks.stop()
        await self.tasks.stop()

    async def replace_gateways(self):
        """End all gateways at once and start them again."""
        before = self.gateways
        for each in before:
            await each.tasks.stop()
            for peer in each.links:
                closed = events.LinkClosed(self.time.now_ms(), each.name)
                self.sidecars[peer].driver.feed(closed)
        self.gateways = [
            Gateway(self, each.name, each.link, each.domain) for each in before
        ]
        for each in self.gateways:
            each.start()

    async def publish(self, declared):
        """Write a configuration as an operator; it is confirmed at once."""
        value = json.dumps(declared).encode()
        await self.store.put(platform.CONFIGURATION_STREAM, 'config', value)
        self.confirmed_ms[declared['Version']] = self.time.now_ms()

    def add_endpoint(self, name, address, service, domain=DOMAIN):
        self.tasks.start(self.write_entries(name, address, service, domain))

    async def write_entries(self, name, address, service, domain):
        models = {} if service == builders.MODEL_SERVICE else {'Models': []}
        for number in range(1_000_000):
            entry = builders.entry(
                address, service, Seq=number, Zone=domain, **models
            )
            value = json.dumps(entry).encode()
            await self.store.put(platform.INSTANCE_STREAM, name, value)
            await rated_link.sleep_ms(HEARTBEAT_MS)

    async def link(self, gateway_, peer):
        """Open a gateway's link to a sidecar."""
        await rated_link.sleep_ms(rated_link.LATENCY_MS)
        sidecar = self.sidecars[peer]
        queue = asyncio.Queue()
        gateway_.links[peer] = sidecar.queues[gateway_.name] = queue
        gateway_.tasks.start(gateway_.receive_from(peer, queue))
        now_ms, role = self.time.now_ms(), events.Role
        gateway_.driver.feed(
            events.LinkOpened(now_ms, peer, role.ENDPOINT, 'i1')
        )
        sidecar.driver.feed(
            events.LinkOpened(now_ms, gateway_.name, role.GATEWAY, 'i1')
        )


def configuration(version, service, route_count, *keys):
    """Return a configuration; ``service`` serves the requests of a run.

    Requests without a key are allowed too. ``route_count`` decides the size.
    """
    declared = builders.configuration(
        version,
        routes=[
            builders.route(),
            builders.plain_route(
                Service=service, Kind='safe', AllowAnonymous=True
            ),
            *map(_other_route, range(route_count)),
        ],
        workspaces=[builders.workspace('hule930', KEY, *keys)],
    )
    declared['Services'].append({'Name': NEW_SERVICE, 'MaxConns': 100})
    return declared


def _other_route(number):
    name = f'{number * 2654435761 % 2**32:08x}'
    return builders.plain_route(name, f'/{name}/', Host=f'{name}.example')
