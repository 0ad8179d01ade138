"""Gateways, sidecars and direct endpoints in virtual time, with a culprit.

A culprit is a request that crashes each endpoint which runs it. The reducers
of gateways and sidecars are the real ones; links, endpoints and the instance
list are modelled. Several gateways may have runs of the culprit in flight.
"""

import collections
import dataclasses
import heapq
import random

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import gateway
from berylhollow import loader
from berylhollow import messages
from berylhollow import platform
from berylhollow import routes
from berylhollow.util import addresses
from test import builders as samples
from test import platform_builders as builders

CULPRIT = 'culprit'
"""Fingerprint, and first part of the request ids."""

INNOCENT = 'innocent'
PLAIN_PATH = '/puxa403/x'
MODEL_PATH = '/lohu930/x'
SIDECAR_HOSTS = ('10.0.9.1', '10.0.9.2', '10.0.9.3')
PORT = 7380

TICK_MS = 50
SIDECAR_TICK_MS = 250
LINK_MS = 2
HEARTBEAT_MS = 1200
SILENT_HEARTBEATS = 3
CONTACT_MS = 3000
"""From this time after the third crash on the bound counts."""

MAX_LATE_RUNS = 3
CRASHES_BEFORE_BOUND = 3


@dataclasses.dataclass(frozen=True)
class Setup:
    """One play; times in milliseconds.

    ``model`` puts the culprit on a service with a model, whose answers begin
    before their endpoint crashes. ``link_ms`` is the delay of links to
    sidecars, ``broken_share`` the share of other requests' answers that are
    broken off while their endpoint lives. Endpoints answer health checks over
    the connections that gateways have had since their start, if ``shows_life``
    is set.
    """

    gateways: int = 4
    endpoints: int = 4
    list_ms: int = 500
    run_ms: int = 100
    down_ms: int = 3000
    model: bool = False
    seed: int = 1
    link_ms: int = LINK_MS
    broken_share: float = 0.0
    shows_life: bool = True


@dataclasses.dataclass
class Run:
    """One run at an endpoint."""

    gateway: str
    offer: messages.Offer

    @property
    def is_culprit(self):
        return self.offer.request_id.startswith(CULPRIT)


@dataclasses.dataclass
class Endpoint:
    """What listens at one address; ``name`` is that of its current start."""

    address: str
    name: str
    up: bool = True
    started_ms: int = 0
    runs: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Outcome:
    """How a request ended for its caller."""

    request_id: str
    gateway: str
    arrived_ms: int
    ended_ms: int
    kind: errors.Kind | None
    ran: errors.Ran = errors.Ran.RAN
    retry_after_ms: int = 0


class CrashFleet:
    """Plays one setup; ``runs_ms`` is when the culprit's runs began."""

    def __init__(self, setup):
        self.setup = setup
        self.random = random.Random(setup.seed)
        self.now_ms = 0
        self.queue = []
        self.scheduled = 0
        self.starts = 0
        self.sent = 0
        self.listed = {}
        self.endpoints = {}
        self.runs_ms = []
        self.crashes_ms = []
        self.outcomes = []
        self.arrived = {}
        self.logs = collections.Counter()
        self.gateways = {}
        self.sidecars = {}
        self.links = set()
        self.cut = set()
        for number in range(setup.endpoints):
            self._start_endpoint(f'10.0.0.{number + 1}:80')
        for host in SIDECAR_HOSTS:
            self.start_sidecar(addresses.sidecar_peer(f'{host}:80'))
        for number in range(setup.gateways):
            self.start_gateway(f'g{number + 1}')

    # Time.

    def at(self, at_ms, call, *arguments):
        self.scheduled += 1
        heapq.heappush(self.queue, (at_ms, self.scheduled, call, arguments))

    def after(self, wait_ms, call, *arguments):
        self.at(self.now_ms + wait_ms, call, *arguments)

    def run_until(self, at_ms):
        while self.queue and self.queue[0][0] <= at_ms:
            self.now_ms, _, call, arguments = heapq.heappop(self.queue)
            call(*arguments)
        self.now_ms = at_ms

    # Callers.

    def send(self, name, kind, fingerprint=''):
        """Send a request to a gateway; no gateway, no request."""
        if name not in self.gateways:
            return
        self.sent += 1
        request = samples.request(
            f'{kind}-{self.sent}',
            host=builders.HOST,
            path=MODEL_PATH if self.setup.model else PLAIN_PATH,
            adapter=None,
            fingerprint=fingerprint or f'{kind}-{self.sent}',
            deadline_ms=2500,
        )
        self.arrived[request.request_id] = self.now_ms
        seed = self.random.random()
        self.feed(name, events.RequestArrived(self.now_ms, request, seed))

    def send_each(self, interval_ms, until_ms, kind, fingerprint=''):
        """Have a kind of request come at one gateway after the other."""
        for index, at_ms in enumerate(range(1000, until_ms, interval_ms)):
            name = f'g{index % self.setup.gateways + 1}'
            self.at(at_ms, self.send, name, kind, fingerprint)

    def send_bursts(self, count, interval_ms, until_ms, kind, fingerprint=''):
        """Have several of a kind come within milliseconds, again and again."""
        sent = 0
        for from_ms in range(1000, until_ms, interval_ms):
            for at_ms in range(from_ms, from_ms + count):
                name = f'g{sent % self.setup.gateways + 1}'
                self.at(at_ms, self.send, name, kind, fingerprint)
                sent += 1

    # What is judged.

    def late_runs_ms(self):
        """Return the culprit's runs that count against the bound."""
        if len(self.crashes_ms) < CRASHES_BEFORE_BOUND:
            return []
        from_ms = self.crashes_ms[CRASHES_BEFORE_BOUND - 1] + CONTACT_MS
        return [at_ms for at_ms in self.runs_ms if at_ms > from_ms]

    def outcomes_of(self, kind):
        return [x for x in self.outcomes if x.request_id.startswith(kind)]

    # Processes.

    def start_gateway(self, name):
        """Start a gateway, also one that was killed."""
        follower = routes.RouteFollower(
            platform.CONFIGURATION_STREAM, platform.decode_configuration_record
        )
        options = gateway.Options(
            instance=name,
            policy='quick-reload',
            sidecar_port=PORT,
            needs_instances=True,
            lost_retry_free=False,
            budget_by_caller=False,
            attempts=4,
            retry_reserve=3.0,
            instance_poll_ms=self.setup.list_ms,
            link_retry_ms=150,
            caller_in_flight=100_000,
            caller_rate_per_s=1e6,
            caller_burst=1e6,
        )
        self.gateways[name] = gateway.State(options, follower)
        self.feed(name, events.Started(self.now_ms, f'{name}-{self.now_ms}'))
        record = builders.configuration_record(8, routes=self.routes())
        entries = (messages.LogEntry(0, 0, record),)
        stream = platform.CONFIGURATION_STREAM
        self.feed(name, events.LogRead(self.now_ms, stream, entries, 0, 1))
        self._tick_gateway(name, self.gateways[name])

    def routes(self):
        kind = {'Kind': 'safe', 'MaxAttempts': 2}
        return [builders.route(), builders.plain_route(**kind)]

    def kill_gateway(self, name):
        """End a gateway; endpoints go on with what it has there."""
        del self.gateways[name]
        for peer in [peer for other, peer in self.links if other == name]:
            self.break_link(name, peer)

    def start_sidecar(self, peer):
        self.sidecars[peer] = loader.State(loader.Options(peer, 's'))
        self.feed(peer, events.Started(self.now_ms, f'{peer} {self.now_ms}'))
        self._tick_sidecar(peer, self.sidecars[peer])

    def kill_sidecar(self, peer):
        del self.sidecars[peer]
        for name in [name for name, other in self.links if other == peer]:
            self.break_link(name, peer)

    def restart_sidecars(self, down_ms):
        """End all sidecars at once; they start again after a time."""
        for peer in self.kill_sidecars():
            self.after(down_ms, self.start_sidecar, peer)

    def kill_sidecars(self):
        """End all sidecars at once; return them."""
        killed = list(self.sidecars)
        for peer in killed:
            self.kill_sidecar(peer)
        return killed

    def cut_links(self, name):
        """Cut a gateway off from all sidecars, until it is healed."""
        self.cut.add(name)
        for peer in [peer for other, peer in self.links if other == name]:
            self.break_link(name, peer)

    def heal_links(self, name):
        self.cut.discard(name)

    def break_link(self, name, peer):
        self.links.discard((name, peer))
        self.feed(name, events.LinkClosed(self.now_ms, peer))
        self.feed(peer, events.LinkClosed(self.now_ms, name))

    def lose_endpoints(self, count, gap_ms=0):
        """End endpoints from outside, one after the other."""
        for number, address in enumerate(list(self.endpoints)[:count]):
            self.after(number * gap_ms, self.end_endpoint, address)

    def feed(self, name, event):
        """Give a process an event, if it runs, and carry the effects out."""
        if name in self.gateways:
            reduce, states = gateway.reduce, self.gateways
        elif name in self.sidecars:
            reduce, states = loader.reduce, self.sidecars
        else:
            return
        states[name], emitted = reduce(states[name], event)
        for effect in emitted:
            self._carry_out(name, effect)

    def _tick_gateway(self, name, state):
        if self.gateways.get(name) is state:
            seed = self.random.random()
            self.feed(name, events.Ticked(self.now_ms, seed))
            self.after(TICK_MS, self._tick_gateway, name, state)

    def _tick_sidecar(self, peer, state):
        if self.sidecars.get(peer) is state:
            self.feed(peer, events.Ticked(self.now_ms, 0.5))
            self.after(SIDECAR_TICK_MS, self._tick_sidecar, peer, state)

    def _carry_out(self, name, effect):
        handler = self.HANDLERS.get(type(effect))
        if handler is not None:
            handler(self, name, effect)

    def _send(self, name, effect):
        if isinstance(effect.message, messages.Offer):
            self.after(LINK_MS, self._offered, name, effect)
        elif isinstance(effect.message, messages.Cancel):
            self.after(LINK_MS, self._cancelled, name, effect)
        elif {(name, effect.peer), (effect.peer, name)} & self.links:
            self.after(self.setup.link_ms, self._deliver, name, effect)

    def _deliver(self, source, effect):
        if {(source, effect.peer), (effect.peer, source)} & self.links:
            self._report(effect.peer, source, effect.message)

    def _report(self, name, source, message):
        received = events.MessageReceived(self.now_ms, source, message)
        self.feed(name, received)

    def _open_link(self, name, effect):
        self.after(self.setup.link_ms, self._link_opened, name, effect.peer)

    def _link_opened(self, name, peer):
        if name not in self.gateways:
            return
        if peer not in self.sidecars or name in self.cut:
            self.feed(name, events.LinkRefused(self.now_ms, peer))
            return
        self.links.add((name, peer))
        incarnation = f'{name} {self.now_ms}'
        role = events.Role.GATEWAY
        self.feed(
            peer, events.LinkOpened(self.now_ms, name, role, incarnation)
        )
        role = events.Role.ENDPOINT
        incarnation = self.sidecars[peer].incarnation
        self.feed(
            name, events.LinkOpened(self.now_ms, peer, role, incarnation)
        )

    def _read_instances(self, name, effect):
        self.after(LINK_MS, self._listed, name)

    def _listed(self, name):
        # Endpoints that take no requests; their sidecars link the gateways.
        beside = tuple(
            samples.instance(
                f'm-{host}',
                service=builders.MODEL_SERVICE,
                address=f'{host}:80',
                direct=True,
                leaving=True,
            )
            for host in SIDECAR_HOSTS
        )
        rows = beside + tuple(self.listed.values())
        self.feed(name, events.InstancesListed(self.now_ms, rows))

    def _check_life(self, name, effect):
        if self.setup.shows_life:
            self.after(
                LINK_MS, self._checked, name, effect.endpoint, self.now_ms
            )

    def _checked(self, name, peer, asked_ms):
        """Answer over a connection that is as old as the process."""
        listed_name = messages.Incarnation.name_in
        for endpoint in self.endpoints.values():
            if endpoint.up and listed_name(endpoint.name) == listed_name(peer):
                outlived = events.EndpointOutlived(
                    self.now_ms, peer, endpoint.started_ms, asked_ms
                )
                self.feed(name, outlived)

    def _complete(self, name, effect):
        self.feed(
            name,
            events.AnswerRelayed(
                self.now_ms, effect.request_id, effect.attempt_id, 200
            ),
        )
        self._note_outcome(name, effect.request_id, None)

    def _failed(self, name, effect):
        retry_after_ms = getattr(effect, 'retry_after_ms', 0)
        self._note_outcome(
            name, effect.request_id, effect.kind, effect.ran, retry_after_ms
        )

    def _note_outcome(self, name, request_id, *result):
        arrived_ms = self.arrived[request_id]
        outcome = Outcome(request_id, name, arrived_ms, self.now_ms, *result)
        self.outcomes.append(outcome)

    def _log(self, name, effect):
        self.logs[effect.text] += 1

    HANDLERS = {
        effects.Send: _send,
        effects.OpenLink: _open_link,
        effects.ReadInstances: _read_instances,
        effects.CheckLife: _check_life,
        effects.CompleteAnswer: _complete,
        effects.AnswerError: _failed,
        effects.BreakAnswer: _failed,
        effects.Log: _log,
    }

    # Endpoints.

    def _start_endpoint(self, address):
        self.starts += 1
        name = f'i-{self.starts}'
        self.endpoints[address] = Endpoint(
            address, name, started_ms=self.now_ms
        )
        is_model = self.setup.model
        self.listed[name] = samples.instance(
            name,
            service=builders.MODEL_SERVICE
            if is_model
            else builders.PLAIN_SERVICE,
            address=address,
            direct=True,
            capacity=64,
            models=(builders.MODEL,) if is_model else (),
        )

    def _offered(self, name, effect):
        found = [x for x in self.endpoints.values() if x.name == effect.peer]
        offer = effect.message
        if not found or not found[0].up:
            kind = errors.Kind.ENDPOINT_UNREACHABLE
            row = self.listed.get(effect.peer)
            if row and self.endpoints[row.address].up:
                kind = errors.Kind.ENDPOINT_REPLACED
            failed = messages.Failed(
                offer.attempt_id, kind, errors.Ran.NOT_RUN
            )
            self.after(LINK_MS, self._report, name, effect.peer, failed)
            return
        endpoint = found[0]
        run = Run(name, offer)
        endpoint.runs[name, offer.attempt_id] = run
        if run.is_culprit:
            self.runs_ms.append(self.now_ms)
        self._begin(endpoint, run)

    def _begin(self, endpoint, run):
        if self.setup.model:
            self._answer(run, endpoint.name, self._started(run.offer))
        self.after(self.setup.run_ms, self._end_run, endpoint, run)

    def _started(self, offer):
        return messages.Started(offer.attempt_id, 200, (), offer.adapter)

    def _is_broken(self):
        share = self.setup.broken_share
        return share > 0 and self.random.random() < share

    def _broken(self, offer):
        kind = errors.Kind.ENGINE_RESTARTED
        if self.setup.model:
            kind = errors.Kind.STREAM_BROKEN
        return messages.Failed(offer.attempt_id, kind, errors.Ran.UNKNOWN)

    def _answer(self, run, source, message):
        self.after(LINK_MS, self._report, run.gateway, source, message)

    def _cancelled(self, name, effect):
        for endpoint in self.endpoints.values():
            if endpoint.name == effect.peer:
                endpoint.runs.pop((name, effect.message.attempt_id), None)

    def _end_run(self, endpoint, run):
        if (
            endpoint.runs.pop((run.gateway, run.offer.attempt_id), None)
            is None
        ):
            return
        if run.is_culprit:
            endpoint.runs[run.gateway, run.offer.attempt_id] = run
            self.crashes_ms.append(self.now_ms)
            self.end_endpoint(endpoint.address)
            return
        if self._is_broken():
            self._answer(run, endpoint.name, self._broken(run.offer))
            return
        if not self.setup.model:
            self._answer(run, endpoint.name, self._started(run.offer))
        end = messages.End(run.offer.attempt_id, 0)
        self._answer(run, endpoint.name, end)

    def end_endpoint(self, address):
        """End what listens at an address; it starts again under a new name."""
        endpoint = self.endpoints[address]
        if not endpoint.up:
            return
        endpoint.up = False
        for run in endpoint.runs.values():
            self._answer(run, endpoint.name, self._broken(run.offer))
        endpoint.runs.clear()
        silent_ms = SILENT_HEARTBEATS * HEARTBEAT_MS
        self.after(silent_ms, self.listed.pop, endpoint.name, None)
        self.after(self.setup.down_ms, self._start_endpoint, address)
