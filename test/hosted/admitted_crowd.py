"""A crowd whose prompts are admitted, and what may befall its processes.

Gateways and sidecars are the real reducers. Links, endpoints and callers are
those of ``crowd``; here links close, and what is under way on them is lost.
"""

import collections
import dataclasses
import itertools

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from test.hosted import crowd
from test import platform_builders as builders

GROUP = 3
GONE_EACH = 12
"""One of so many callers leaves before its answer has begun."""

GONE_MS = 150
DEADLINE_MS = 5000
TOKENS_PER_EVENT = 4

NOT_RUN = errors.Ran.NOT_RUN


@dataclasses.dataclass(frozen=True)
class Answer:
    """The final answer of a request, or that its caller has left."""

    at_ms: int
    ran: errors.Ran


class AdmittedCrowd(crowd.Crowd):
    """One run of a load; ``answers`` has all final answers by request id.

    ``links`` has the number of the link between a gateway and a sidecar,
    ``unended`` the admissions asked for on it and not ended. ``lost`` are the
    requests of a killed gateway, ``granted_to_killed`` counts later grants.
    """

    def __init__(self, load: crowd.Load):
        self.links = {}
        self.link_numbers = itertools.count(1)
        self.unended = collections.defaultdict(set)
        self.frozen = {}
        self.arrived = {}
        self.lost = set()
        self.granted_to_killed = 0
        self.answers = collections.defaultdict(list)
        self.runs = collections.Counter()
        self.running = {}
        self.outcomes = collections.Counter()
        super().__init__(load)

    # The load

    def configuration(self):
        route = builders.route(TimeoutMs=DEADLINE_MS)
        engine = {'Stride': TOKENS_PER_EVENT}
        return builders.configuration_record(routes=[route], engine=engine)

    def arrivals(self):
        """Yield groups of requests for one adapter at the same moment."""
        for at_ms, adapter in super().arrivals():
            yield from itertools.repeat((at_ms, adapter), GROUP)

    def ask(self, caller):
        request_id = f'r{next(self.numbers)}'
        self.arrived[request_id] = self.now_ms
        name = self.chance.choice(list(self.gateways))
        request = crowd.request(
            request_id, builders.adapter_name(caller.adapter)
        )
        seed = self.chance.random()
        if len(self.arrived) % GONE_EACH == 0:
            self.later(GONE_MS, self.leave, name, request_id)
        self.feed_gateway(
            name, events.RequestArrived(self.now_ms, request, seed)
        )

    def leave(self, name, request_id):
        """Let a caller go that has no answer yet."""
        if name in self.gateways and request_id not in self.answers:
            self.end(request_id, errors.Ran.UNKNOWN)
            self.feed_gateway(name, events.CallerGone(self.now_ms, request_id))

    def end(self, request_id, ran):
        self.answers[request_id].append(Answer(self.now_ms, ran))

    # The processes

    def feed_gateway(self, name, event):
        if name in self.gateways:
            super().feed_gateway(name, event)

    def feed_sidecar(self, peer, event):
        if peer not in self.frozen:
            super().feed_sidecar(peer, event)
        elif not isinstance(event, events.Ticked):
            self.frozen[peer].append(event)

    def carry_out_gateway(self, name, effect):
        if isinstance(effect, effects.CompleteAnswer):
            self.end(effect.request_id, errors.Ran.RAN)
            relayed = events.AnswerRelayed(
                self.now_ms, effect.request_id, effect.attempt_id, 200
            )
            self.feed_gateway(name, relayed)
        elif isinstance(effect, effects.AnswerError | effects.BreakAnswer):
            self.end(effect.request_id, effect.ran)
        elif isinstance(effect, effects.CloseLink):
            self.later(crowd.LINK_MS, self.close_link, name, effect.peer)
        elif isinstance(effect, effects.Send) and effect.peer in self.sidecars:
            self.send_to_sidecar(name, effect)
        else:
            self.count(effect)
            super().carry_out_gateway(name, effect)

    def send_to_sidecar(self, name, effect):
        link = name, effect.peer
        message = effect.message
        if isinstance(message, messages.AdmissionWanted):
            self.unended[link].add(message.request_id)
        elif isinstance(message, messages.AdmissionEnded):
            self.unended[link].discard(message.request_id)
        number = self.links.get(link)
        self.later(crowd.LINK_MS, self.deliver, number, name, effect)

    def deliver(self, number, name, effect):
        if number and self.links.get((name, effect.peer)) == number:
            self.to_sidecar(name, effect)

    def carry_out_sidecar(self, peer, effect):
        if not isinstance(effect, effects.Send):
            self.count(effect)
            super().carry_out_sidecar(peer, effect)
            return
        if isinstance(effect.message, messages.AdmissionGranted):
            self.granted_to_killed += effect.peer not in self.gateways
        number = self.links.get((effect.peer, peer))
        self.later(crowd.LINK_MS, self.answer, number, peer, effect)

    def answer(self, number, peer, effect):
        if number and self.links.get((effect.peer, peer)) == number:
            self.tell(effect.peer, peer, effect.message)

    def count(self, effect):
        """Count the outcomes of admissions."""
        if isinstance(effect, effects.Count):
            outcome = dict(effect.attributes).get('berylhollow.outcome')
            if effect.name == 'berylhollow.admissions':
                self.outcomes[outcome] += effect.value

    def link(self, name, peer):
        if name not in self.gateways:
            return
        if peer in self.frozen:
            refused = events.LinkRefused(self.now_ms, peer)
            self.feed_gateway(name, refused)
            return
        self.links[name, peer] = next(self.link_numbers)
        super().link(name, peer)

    def close_link(self, name, peer):
        if self.links.pop((name, peer), None) is None:
            return
        self.unended.pop((name, peer), None)
        self.feed_sidecar(peer, events.LinkClosed(self.now_ms, name))
        self.feed_gateway(name, events.LinkClosed(self.now_ms, peer))

    # The endpoints

    def offer(self, name, effect):
        offer = effect.message
        endpoint = self.endpoints.get(effect.peer)
        if endpoint is None:
            kind = errors.Kind.ENDPOINT_REPLACED
            failed = messages.Failed(offer.attempt_id, kind, NOT_RUN)
            self.tell(name, effect.peer, failed)
            return
        before = endpoint.runs.total()
        super().offer(name, effect)
        if endpoint.runs.total() > before:
            self.runs[offer.request_id] += 1
            self.running[offer.attempt_id] = name, endpoint

    def tell(self, name, peer, message):
        """Follow the head of an answer with its first event."""
        if isinstance(message, messages.Started):
            if message.attempt_id not in self.running:
                return
            super().tell(name, peer, message)
            message = messages.Data(message.attempt_id, 0, b'x')
        super().tell(name, peer, message)

    def ended(self, name, effect, adapter, first_ms):
        attempt = effect.message.attempt_id
        run = self.running.pop(attempt, None)
        if run is not None:
            run[1].runs[adapter] -= 1
            self.tell(name, effect.peer, messages.End(attempt, 1))

    # Failures

    def waiting_requests(self, name):
        """Return the requests that a gateway has queued at sidecars."""
        return [
            active
            for active in self.gateways[name].requests.values()
            if active.admission is not None and active.admission.is_queued
        ]

    def kill_gateway(self):
        """End the gateway with most waiting requests, once there are some."""
        name = max(self.gateways, key=lambda x: len(self.waiting_requests(x)))
        if not self.waiting_requests(name):
            self.later(5, self.kill_gateway)
            return
        self.lost |= self.gateways[name].requests.keys()
        del self.gateways[name]
        for peer in self.sidecars:
            self.close_link(name, peer)

    def freeze_sidecar(self, number, for_ms):
        """Let a sidecar stand still; it goes on with all that came."""
        peer = list(self.sidecars)[number]
        self.frozen[peer] = []
        self.later(for_ms, self.thaw, peer)

    def thaw(self, peer):
        for event in self.frozen.pop(peer):
            now = dataclasses.replace(event, at_ms=self.now_ms)
            self.feed_sidecar(peer, now)

    def restart_sidecar(self, number):
        peer = list(self.sidecars)[number]
        self.sidecars[peer] = self.sidecar_state(peer)
        self.start_sidecar(peer)
        for name in self.gateways:
            self.close_link(name, peer)

    def restart_endpoint(self, number, renamed):
        """Restart an endpoint, which loses its adapters and its runs."""
        before = list(self.endpoints.values())[number]
        name = f'{before.name}-again' if renamed else before.name
        started = crowd.Endpoint(
            name, before.address, started_ms=self.now_ms + 1
        )
        del self.endpoints[before.name]
        self.endpoints[name] = started
        peers = {x: peer for peer, x in self.names_beside().items()}
        self.beside[peers[before.name]] = started
        for attempt, (gateway, endpoint) in list(self.running.items()):
            if endpoint is before:
                del self.running[attempt]
                broken = messages.Failed(
                    attempt, errors.Kind.STREAM_BROKEN, errors.Ran.UNKNOWN
                )
                self.tell(gateway, before.name, broken)
        self.later(500, self.list_endpoints)

    def names_beside(self):
        return {peer: x.name for peer, x in self.beside.items()}

    def list_endpoints(self):
        for name in list(self.gateways):
            listed = events.InstancesListed(self.now_ms, self.rows())
            self.feed_gateway(name, listed)
