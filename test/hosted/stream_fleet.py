"""Streams that callers take up again, over endpoints of two versions.

The reducers of gateways and sidecars are the real ones; endpoints, callers,
links and the instance list are modelled, in virtual time.
"""

import dataclasses

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from test import builders as samples
from test.hosted import crash_fleet
from test import platform_builders as builders

EVENTS = 20
EVENT_MS = 50
BACK_MS = 5
"""How soon a caller tries again, unless it is told when to."""

DEADLINE_MS = 15_000
OLD_SIDECAR_MESSAGES = (
    messages.StreamsBegan | messages.OriginWanted | messages.SoftwareHistory
)
"""What a sidecar from before origins were kept does not know."""


@dataclasses.dataclass(frozen=True)
class Received:
    """One event as its caller got it."""

    number: int
    version: str


@dataclasses.dataclass(eq=False)
class Stream:
    """A caller's stream over all its tries.

    ``refusals`` has the errors that it got after its first event.
    """

    number: int
    gateway: str
    deadline_ms: int
    tries: int = 0
    first_id: str = ''
    received: list = dataclasses.field(default_factory=list)
    refusals: list = dataclasses.field(default_factory=list)
    complete: bool = False
    resumed: bool = False

    @property
    def versions(self):
        return {event.version for event in self.received}

    @property
    def went_on(self):
        """Whether it got an event of a try after the one that broke."""
        return self.resumed and self.complete


class StreamFleet(crash_fleet.CrashFleet):
    """Plays streams; ``versions`` maps addresses to software versions."""

    def __init__(self, *, gateways=2, endpoints=6, max_tries=2, old=()):
        self.versions = {}
        self.streams = []
        self.by_request = {}
        self.max_tries = max_tries
        self.old = set(old)
        self.store_up = True
        setup = crash_fleet.Setup(gateways=gateways, endpoints=endpoints)
        super().__init__(setup)

    def routes(self):
        stream = {
            'Kind': 'stream',
            'Resumable': True,
            'MaxAttempts': 2,
            'TimeoutMs': DEADLINE_MS,
        }
        return [builders.route(), builders.plain_route(**stream)]

    # Callers.

    def begin_streams(self, count, gateways=None):
        """Begin streams, one every five milliseconds, at gateways in turn."""
        names = gateways or list(self.gateways)
        for number in range(count):
            name = names[number % len(names)]
            self.after(number * 5, self.begin_stream, number, name)

    def begin_stream(self, number, name):
        stream = Stream(number, name, self.now_ms + DEADLINE_MS)
        self.streams.append(stream)
        self.try_stream(stream, name)

    def try_stream(self, stream, name):
        if name not in self.gateways:
            self.try_again(stream)
            return
        stream.tries += 1
        stream.gateway = name
        resumption = None
        if stream.received:
            stream.resumed = True
            resumption = events.Resumption(stream.first_id)
        caller_id = f'{stream.number:08x}{stream.tries:08x}'
        self.sent += 1
        request = samples.request(
            f's-{self.sent}',
            host=builders.HOST,
            path=crash_fleet.PLAIN_PATH,
            adapter=None,
            fingerprint=self.fingerprint(stream),
            deadline_ms=stream.deadline_ms - self.now_ms,
            caller_request_id=caller_id,
            resumption=resumption,
        )
        self.arrived[request.request_id] = self.now_ms
        self.by_request[request.request_id] = (stream, caller_id)
        seed = self.random.random()
        self.feed(name, events.RequestArrived(self.now_ms, request, seed))

    def fingerprint(self, stream):
        return f'body of {stream.number}'

    def try_again(self, stream, wait_ms=BACK_MS):
        """Let a caller come back at the next gateway that runs."""
        if stream.tries >= self.max_tries or not self.gateways:
            if stream.tries < self.max_tries:
                self.after(100, self.try_again, stream)
            return
        names = [name for name in self.gateways if name != stream.gateway]
        names = names or list(self.gateways)
        name = names[stream.number % len(names)]
        self.after(max(BACK_MS, wait_ms), self.try_stream, stream, name)

    def _note_outcome(self, name, request_id, kind, ran=None, retry_ms=0):
        stream, _ = self.by_request.pop(request_id)
        stream.complete = kind is None
        if stream.complete:
            return
        if stream.resumed:
            stream.refusals.append((kind, ran, retry_ms))
        self.try_again(stream, retry_ms)

    # What is judged.

    @property
    def mixed(self):
        return [x for x in self.streams if len(x.versions) > 1]

    @property
    def resumed(self):
        return [x for x in self.streams if x.resumed]

    @property
    def went_on(self):
        return [x for x in self.streams if x.went_on]

    # Processes.

    def kill_gateway(self, name):
        for endpoint in self.endpoints.values():
            for key in [key for key in endpoint.runs if key[0] == name]:
                del endpoint.runs[key]
        super().kill_gateway(name)
        lost = [
            (request_id, stream)
            for request_id, (stream, _) in self.by_request.items()
            if stream.gateway == name
        ]
        for request_id, stream in lost:
            del self.by_request[request_id]
            self.try_again(stream)

    def restart_gateways(self, names, down_ms):
        for name in names:
            self.kill_gateway(name)
            self.after(down_ms, self.start_gateway, name)

    def _report(self, name, source, message):
        if name in self.old and isinstance(message, OLD_SIDECAR_MESSAGES):
            return
        if source in self.old:
            if isinstance(message, messages.Report):
                message = dataclasses.replace(message, keeps_origins=False)
            elif isinstance(message, messages.StreamsBegan):
                return
        super()._report(name, source, message)

    def _read_adapters(self, name, effect):
        reported = events.AdaptersReported(
            at_ms=self.now_ms,
            read=effect.read,
            orders=0,
            models=(builders.MODEL,),
            busy=False,
            held=(),
            loading=(),
            waiting=0,
            running=0,
        )
        self.after(1, self.feed, name, reported)

    def _listed(self, name):
        if self.store_up:
            super()._listed(name)

    HANDLERS = crash_fleet.CrashFleet.HANDLERS | {
        effects.ReadAdapters: _read_adapters,
    }

    # Endpoints.

    def _start_endpoint(self, address):
        number = len(self.versions)
        version = self.versions.setdefault(address, f'v{number % 2 + 1}')
        super()._start_endpoint(address)
        self.set_listed_version(address, version)

    def set_listed_version(self, address, version):
        """List another version for what runs at an address."""
        name = self.endpoints[address].name
        self.listed[name] = dataclasses.replace(
            self.listed[name], software_version=version
        )

    def add_endpoint(self, address, version):
        self.versions[address] = version
        self._start_endpoint(address)

    def release(self, address, version):
        """Replace what runs at an address by another version."""
        self.versions[address] = version
        self.end_endpoint(address)

    def reset_channels(self, gateway, share):
        """Reset a share of a gateway's channels to endpoints."""
        for endpoint in self.endpoints.values():
            for key in [key for key in endpoint.runs if key[0] == gateway]:
                if self.random.random() < share:
                    run = endpoint.runs.pop(key)
                    broken = self._broken(run.offer)
                    self._answer(run, endpoint.name, broken)

    def _broken(self, offer):
        return messages.Failed(
            offer.attempt_id,
            errors.Kind.STREAM_BROKEN,
            errors.Ran.UNKNOWN,
        )

    def _begin(self, endpoint, run):
        self._answer(run, endpoint.name, self._started(run.offer))
        stream, caller_id = self.by_request.get(
            run.offer.request_id, (None, '')
        )
        if stream is None:
            return
        version = self.versions[endpoint.address]
        self.after(
            EVENT_MS, self._event, endpoint, run, stream, caller_id, version
        )

    def _event(self, endpoint, run, stream, caller_id, version):
        """Write the next event to the caller of a run that goes on."""
        if (run.gateway, run.offer.attempt_id) not in endpoint.runs:
            return
        if run.offer.request_id not in self.by_request:
            return
        stream.first_id = stream.first_id or caller_id
        number = len(stream.received) + 1
        stream.received.append(Received(number, version))
        if number < EVENTS:
            self.after(
                EVENT_MS,
                self._event,
                endpoint,
                run,
                stream,
                caller_id,
                version,
            )
            return
        del endpoint.runs[run.gateway, run.offer.attempt_id]
        end = messages.End(run.offer.attempt_id, 0)
        self._answer(run, endpoint.name, end)
