"""Gateways, sidecars and endpoints under a load that crowds their slots.

The reducers are the real ones and run on a virtual clock; the endpoints and
the callers are models. An endpoint reads prompts one after the other, holds
a few adapters, and remembers which it held.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import gateway
from berylhollow.gateway import _state
from berylhollow import loader
from berylhollow import messages
from berylhollow import platform
from berylhollow import routes
from berylhollow.util import addresses
from test import builders as samples
from test import platform_builders as builders

TICK_MS = 50
LINK_MS = 2
PORT = 7380
REMEMBERED = 36
"""Adapters that an endpoint can load again quickly."""

SLOTS = 6
PROMPT_TOKENS = 2000
SETTLE_MS = 500
"""Links are up and everybody is listed before the first request."""

LAST_RUNS_MS = 5000


@dataclasses.dataclass(frozen=True)
class Load:
    """A pattern of requests and the deployment that it meets.

    ``skew`` is the exponent of the popularity of adapters. A caller that is
    refused comes back once, as it was asked to. An answer that begins later
    than ``objective_ms`` after the caller first asked is late.
    """

    seed: int = 1
    duration_ms: int = 20_000
    requests_per_s: float = 24.0
    adapters: int = 3000
    skew: float = 1.2
    shift_ms: int = 6000
    gateways: int = 4
    endpoints: int = 4
    load_ms: int = 250
    reload_ms: int = 25
    prompt_ms: int = 110
    run_ms: float = 1200.0
    objective_ms: int = 1000

    # Grounds: 25 adapters asked for again and again with a long tail behind
    # (exponent 1.2 over 3,000), 24 model requests a second on four endpoints
    # of six slots, 250 ms a fetch and a tenth of it a reload, 110 ms to read
    # 2,100 tokens, 1.2 s a run beside the prompts of others, and popularity
    # that moves on every six seconds, as counted on the users' heavy days.


@dataclasses.dataclass
class Endpoint:
    """A model of an endpoint and its adapters."""

    name: str
    address: str
    held: dict[str, int] = dataclasses.field(default_factory=dict)
    loading: set[str] = dataclasses.field(default_factory=set)
    unloading: set[str] = dataclasses.field(default_factory=set)
    runs: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    lately: dict[str, None] = dataclasses.field(default_factory=dict)
    orders: int = 0
    fetched: int = 0
    prompts_until_ms: float = 0.0
    started_ms: int = 0


@dataclasses.dataclass
class Caller:
    """One request, which comes back once if it is refused."""

    adapter: str
    first_ms: int
    returned: bool = False


@dataclasses.dataclass
class Outcome:
    """How many callers were answered how."""

    on_time: int = 0
    late: int = 0
    refused: int = 0
    refusals: int = 0
    fetched: int = 0

    @property
    def asked(self) -> int:
        return self.on_time + self.late + self.refused

    @property
    def timely_share(self) -> float:
        return self.on_time / max(1, self.asked)


class Crowd:
    """One run of a load."""

    def __init__(self, load: Load, **sidecar_options):
        self.load = load
        self.chance = random.Random(load.seed)
        self.now_ms = 0
        self.events = []
        self.numbers = itertools.count()
        self.outcome = Outcome()
        self.callers: dict[str, Caller] = {}
        self.endpoints = {
            f'i-{n}': Endpoint(f'i-{n}', f'10.0.0.{n + 1}:80')
            for n in range(load.endpoints)
        }
        self.gateways = {
            f'g{n}': gateway_state(f'g{n}') for n in range(load.gateways)
        }
        self.beside = {
            addresses.sidecar_peer(endpoint.address): endpoint
            for endpoint in self.endpoints.values()
        }
        self.sidecar_options = sidecar_options
        self.sidecars = {
            peer: self.sidecar_state(peer) for peer in self.beside
        }
        self.begin()

    def sidecar_state(self, peer: str) -> loader.State:
        options = loader.Options(
            instance=self.beside[peer].name,
            service=builders.MODEL_SERVICE,
            **self.sidecar_options,
        )
        return loader.State(options)

    def run(self) -> Outcome:
        """Play the whole load and let its last requests end."""
        for at_ms, name in self.arrivals():
            self.at(at_ms, self.ask, Caller(name, int(at_ms)))
        end_ms = self.load.duration_ms + LAST_RUNS_MS
        while self.events and self.events[0][0] <= end_ms:
            self.now_ms, _, do, arguments = heapq.heappop(self.events)
            do(*arguments)
        self.outcome.fetched = sum(x.fetched for x in self.endpoints.values())
        return self.outcome

    def at(self, at_ms: float, do, *arguments) -> None:
        entry = (int(at_ms), next(self.numbers), do, arguments)
        heapq.heappush(self.events, entry)

    def later(self, after_ms: float, do, *arguments) -> None:
        self.at(self.now_ms + after_ms, do, *arguments)

    # The load

    def arrivals(self):
        """Yield when which adapter is asked for.

        Popularity goes over to other adapters every ``shift_ms``.
        """
        load = self.load
        ranks = range(1, load.adapters + 1)
        weights = list(itertools.accumulate(r**-load.skew for r in ranks))
        at_ms = float(SETTLE_MS)
        while at_ms < load.duration_ms:
            rank = self.chance.choices(ranks, cum_weights=weights)[0]
            shift = int(at_ms // load.shift_ms) * 7
            yield at_ms, f'a{(rank + shift) % load.adapters + 1}'
            at_ms += self.chance.expovariate(load.requests_per_s / 1000)

    def ask(self, caller: Caller) -> None:
        request_id = f'r{next(self.numbers)}'
        self.callers[request_id] = caller
        name = builders.adapter_name(caller.adapter)
        arrived = events.RequestArrived(
            self.now_ms, self.request(request_id, name), self.chance.random()
        )
        gateway_name = self.chance.choice(list(self.gateways))
        self.feed_gateway(gateway_name, arrived)

    def request(self, request_id: str, adapter: str) -> events.Request:
        return request(request_id, adapter)

    def refused(self, request_id: str, retry_after_ms: int) -> None:
        caller = self.callers[request_id]
        self.outcome.refusals += 1
        if caller.returned:
            self.outcome.refused += 1
            return
        caller.returned = True
        self.later(retry_after_ms, self.ask, caller)

    def answered(self, request_id: str, begun_ms: float) -> None:
        waited_ms = begun_ms - self.callers[request_id].first_ms
        if waited_ms <= self.load.objective_ms:
            self.outcome.on_time += 1
        else:
            self.outcome.late += 1

    # The processes

    def begin(self) -> None:
        for peer in self.sidecars:
            self.start_sidecar(peer)
            self.at(self.chance.uniform(0, TICK_MS), self.tick_sidecar, peer)
        for name in self.gateways:
            self.start_gateway(name)
            self.at(self.chance.uniform(0, TICK_MS), self.tick_gateway, name)

    def start_sidecar(self, peer: str) -> None:
        started = events.Started(self.now_ms, f'{peer}#{self.now_ms}')
        self.feed_sidecar(peer, started)

    def start_gateway(self, name: str) -> None:
        entries = (messages.LogEntry(0, 0, self.configuration()),)
        stream = platform.CONFIGURATION_STREAM
        now_ms = self.now_ms
        for event in (
            events.Started(now_ms, f'{name}#{now_ms}'),
            events.LogRead(now_ms, stream, entries, 0, 1),
            events.InstancesListed(now_ms, self.rows()),
        ):
            self.feed_gateway(name, event)

    def configuration(self) -> bytes:
        """Return the record with the routes and services."""
        return builders.configuration_record()

    def rows(self) -> tuple[events.Instance, ...]:
        """Return the list of endpoints."""
        return tuple(
            samples.instance(
                endpoint.name,
                service=builders.MODEL_SERVICE,
                address=endpoint.address,
                direct=True,
                capacity=64,
                models=(builders.MODEL,),
            )
            for endpoint in self.endpoints.values()
        )

    def tick_gateway(self, name: str) -> None:
        self.feed_gateway(name, events.Ticked(self.now_ms, 0.5))
        self.later(TICK_MS, self.tick_gateway, name)

    def tick_sidecar(self, peer: str) -> None:
        self.feed_sidecar(peer, events.Ticked(self.now_ms, 0.5))
        self.later(TICK_MS, self.tick_sidecar, peer)

    def feed_gateway(self, name: str, event) -> None:
        state, done = gateway.reduce(self.gateways[name], event)
        self.gateways[name] = state
        for effect in done:
            self.carry_out_gateway(name, effect)

    def feed_sidecar(self, peer: str, event) -> None:
        state, done = loader.reduce(self.sidecars[peer], event)
        self.sidecars[peer] = state
        for effect in done:
            self.carry_out_sidecar(peer, effect)

    def carry_out_gateway(self, name: str, effect) -> None:
        if isinstance(effect, effects.OpenLink):
            self.later(LINK_MS, self.link, name, effect.peer)
        elif isinstance(effect, effects.AnswerError):
            self.refused(effect.request_id, effect.retry_after_ms)
        elif isinstance(effect, effects.Send):
            if isinstance(effect.message, messages.Offer):
                self.later(LINK_MS, self.offer, name, effect)
            elif effect.peer in self.sidecars:
                self.later(LINK_MS, self.to_sidecar, name, effect)

    def carry_out_sidecar(self, peer: str, effect) -> None:
        if isinstance(effect, effects.ReadAdapters):
            self.later(1, self.read, peer, effect.read)
        elif isinstance(effect, effects.OrderAdapter):
            self.later(1, self.order, peer, effect)
        elif isinstance(effect, effects.Send):
            received = events.MessageReceived(
                self.now_ms + LINK_MS, peer, effect.message
            )
            self.later(LINK_MS, self.feed_gateway, effect.peer, received)

    def link(self, name: str, peer: str) -> None:
        role = events.Role
        self.feed_gateway(
            name, events.LinkOpened(self.now_ms, peer, role.ENDPOINT, 'i1')
        )
        self.feed_sidecar(
            peer, events.LinkOpened(self.now_ms, name, role.GATEWAY, 'i1')
        )

    def to_sidecar(self, name: str, effect: effects.Send) -> None:
        received = events.MessageReceived(self.now_ms, name, effect.message)
        self.feed_sidecar(effect.peer, received)

    # The endpoints

    def read(self, peer: str, number: int) -> None:
        endpoint = self.beside[peer]
        told = events.AdaptersReported(
            self.now_ms,
            number,
            endpoint.orders,
            (builders.MODEL,),
            False,
            tuple(messages.AdapterVersion(n, '1') for n in endpoint.held),
            tuple(messages.AdapterVersion(n, '1') for n in endpoint.loading),
            0,
            sum(endpoint.runs.values()),
            endpoint.started_ms,
        )
        self.feed_sidecar(peer, told)

    def order(self, peer: str, order: effects.OrderAdapter) -> None:
        endpoint = self.beside[peer]
        verdict = events.OrderVerdict.ACCEPTED
        if order.orders != endpoint.orders:
            verdict = events.OrderVerdict.CONFLICT
        elif order.load:
            self.begin_load(endpoint, order.name)
        else:
            endpoint.orders += 1
            self.unload(endpoint, order.name)
        ended = events.OrderEnded(self.now_ms, order.order_id, verdict)
        self.feed_sidecar(peer, ended)

    def begin_load(self, endpoint: Endpoint, name: str) -> None:
        taken = len(endpoint.held) + len(endpoint.loading)
        assert taken < SLOTS, 'one adapter too many crashes an endpoint'
        endpoint.orders += 1
        endpoint.loading.add(name)
        reload = name in endpoint.lately
        endpoint.fetched += not reload
        self.remember(endpoint, name)
        delay_ms = self.load.reload_ms if reload else self.load.load_ms
        self.later(delay_ms, self.loaded, endpoint, name)

    def remember(self, endpoint: Endpoint, name: str) -> None:
        endpoint.lately.pop(name, None)
        endpoint.lately[name] = None
        while len(endpoint.lately) > REMEMBERED:
            del endpoint.lately[next(iter(endpoint.lately))]

    def loaded(self, endpoint: Endpoint, name: str) -> None:
        endpoint.loading.discard(name)
        endpoint.held[name] = self.now_ms

    def unload(self, endpoint: Endpoint, name: str) -> None:
        """Drop an adapter once its runs are over; it takes no new ones."""
        endpoint.unloading.add(name)
        if endpoint.runs[name]:
            self.later(10, self.unload, endpoint, name)
            return
        endpoint.held.pop(name, None)
        endpoint.unloading.discard(name)

    def offer(self, name: str, effect: effects.Send) -> None:
        offer = effect.message
        endpoint = self.endpoints[effect.peer]
        adapter = offer.adapter.adapter
        if adapter not in endpoint.held or adapter in endpoint.unloading:
            refused = messages.Failed(
                offer.attempt_id,
                errors.Kind.ADAPTER_ABSENT,
                errors.Ran.NOT_RUN,
            )
            self.tell(name, effect.peer, refused)
            return
        endpoint.runs[adapter] += 1
        begins_ms = max(self.now_ms, endpoint.prompts_until_ms)
        read_ms = self.read_ms(endpoint, begins_ms, offer)
        endpoint.prompts_until_ms = begins_ms + read_ms
        first_ms = endpoint.prompts_until_ms
        started = messages.Started(offer.attempt_id, 200, (), offer.adapter)
        self.at(first_ms, self.tell, name, effect.peer, started)
        run_ms = self.chance.expovariate(1 / self.load.run_ms)
        self.at(first_ms + run_ms, self.ended, name, effect, adapter, first_ms)

    def read_ms(self, endpoint, begins_ms: float, offer) -> float:
        """Return how long the endpoint takes to read a prompt."""
        return self.load.prompt_ms

    def ended(self, name, effect, adapter: str, first_ms: float) -> None:
        offer = effect.message
        self.endpoints[effect.peer].runs[adapter] -= 1
        self.answered(offer.request_id, first_ms)
        self.feed_gateway(
            name,
            events.AnswerRelayed(
                self.now_ms, offer.request_id, offer.attempt_id, 200
            ),
        )

    def tell(self, name: str, peer: str, message) -> None:
        received = events.MessageReceived(self.now_ms, peer, message)
        self.feed_gateway(name, received)


def request(request_id: str, adapter: str) -> events.Request:
    """Return a request as a caller of the model service sends it."""
    return samples.request(
        request_id,
        host=builders.HOST,
        path='/lohu930/x',
        adapter=messages.AdapterVersion(adapter, ''),
        prompt_tokens=PROMPT_TOKENS,
    )


def waiting_request(
    request_id: str, adapter: str, seed: float = 0.5
) -> _state.ActiveRequest:
    """Return a request as a gateway keeps it until it is placed."""
    return _state.ActiveRequest(
        request=request(request_id, adapter),
        arrived_ms=0,
        deadline_ms=5000,
        seed=seed,
        service=builders.MODEL_SERVICE,
    )


def gateway_state(name: str) -> gateway.State:
    follower = routes.RouteFollower(
        platform.CONFIGURATION_STREAM, platform.decode_configuration_record
    )
    options = gateway.Options(
        instance=name,
        policy='quick-reload',
        sidecar_port=PORT,
        needs_instances=True,
        lost_retry_free=False,
        attempts=4,
        retry_reserve=3.0,
    )
    return gateway.State(options, follower)
