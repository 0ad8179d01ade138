"""Measure the configuration: fold, memory, and messages at full size.

``python -m tools.measure_configuration fold`` times changes at 3,000 and
15,000 adapters; ``memory`` tells what a process holds of them; ``spread``
runs the real followers of 1,900 gateways and 10,000 sidecars, linked as the
gateways link, and counts what they send. There is no network in it: a
message takes one round.
"""

import argparse
import collections
import gc
import math
import multiprocessing
import pathlib
import statistics
import time
import tracemalloc

from berylhollow import configuration
from berylhollow import effects
from berylhollow import events
from berylhollow import following
from berylhollow import gateway
from berylhollow.gateway import _peers
from berylhollow import link
from berylhollow import manifest
from berylhollow import messages

ADAPTERS = (3000, 15_000)
DELTAS = 2000
FULL_GATEWAYS = 1900
FULL_SIDECARS = 10_000
DOMAINS = 23
LINKS_OF_SIDECAR = 6
STEP_MS = 250
SETTLE_MS = 15_000
STEADY_MS = 20_000
CHANGES_PER_DAY = 18_000
DAY_S = 86_400
# A frame of the link, and IP and TCP headers with time stamps.
FRAME_BYTES = 4
PACKET_BYTES = 52
GATEWAY = events.Role.GATEWAY
ENDPOINT = events.Role.ENDPOINT


def declared(count: int) -> manifest.Manifest:
    """Return a manifest with names as long as real ones."""
    return manifest.Manifest(
        (manifest.Service('vaxel-ai', base_model='base'),),
        tuple(
            manifest.Adapter(
                f'medlem-{number * 7919:08d}/sammanfattning',
                'vaxel-ai',
                number % 7,
                (manifest.Version(str(number % 9 + 1)),),
            )
            for number in range(count)
        ),
    )


def whole(count: int) -> bytes:
    return configuration.encode_change(
        configuration.Change(0, 'ana', '0' * 32, whole=declared(count))
    )


def deltas(count: int, first: int) -> list[bytes]:
    """Return changes of one adapter each, every one on the last."""
    names = [adapter.name for adapter in declared(3000).adapters]
    records = []
    for base in range(first, first + count):
        adapter = manifest.Adapter(
            names[base * 7 % len(names)],
            'vaxel-ai',
            3,
            (manifest.Version(str(base)),),
        )
        change = configuration.Change(
            base, 'ana', f'{base:032x}', (configuration.Put(adapter),)
        )
        records.append(configuration.encode_change(change))
    return records


def timed(action):
    """Return the result and the milliseconds that it took."""
    start = time.perf_counter()
    result = action()
    return result, (time.perf_counter() - start) * 1000


def measure_fold(adapters: int) -> None:
    record = whole(adapters)
    entry = messages.LogEntry(0, 0, record)
    gc.collect()
    tracemalloc.start()
    state, _ = configuration.fold(configuration.INITIAL, entry)
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    (state, _), whole_ms = timed(
        lambda: configuration.fold(configuration.INITIAL, entry)
    )
    snapshot, write_ms = timed(state.snapshot)
    _, read_ms = timed(lambda: configuration.from_snapshot(snapshot))
    times = []
    sizes = []
    for data in deltas(DELTAS, 1):
        entry = messages.LogEntry(state.next_offset, 0, data)
        (state, verdict), took_ms = timed(
            lambda state=state, entry=entry: configuration.fold(state, entry)
        )
        assert verdict.outcome is configuration.Outcome.ACCEPTED
        times.append(took_ms * 1000)
        sizes.append(len(data))
    print(
        f'{adapters} adapters: {held / adapters:.0f} bytes of heap each; '
        f'whole manifest {len(record)} bytes, folded in {whole_ms:.0f} ms; '
        f'snapshot {len(snapshot)} bytes, written in {write_ms:.0f} ms, '
        f'read in {read_ms:.0f} ms; one delta {statistics.mean(sizes):.0f} '
        f'bytes, folded in {statistics.median(times):.0f} us (median), '
        f'{statistics.quantiles(times, n=100)[98]:.0f} us (99 in 100)'
    )


def measure_memory(adapters: int) -> None:
    """Read a snapshot in a process of its own, and write one there."""
    entry = messages.LogEntry(0, 0, whole(adapters))
    state, _ = configuration.fold(configuration.INITIAL, entry)
    context = multiprocessing.get_context('spawn')
    child = context.Process(
        target=hold_snapshot, args=(adapters, state.snapshot())
    )
    child.start()
    child.join()


def hold_snapshot(adapters: int, data: bytes) -> None:
    before = resident_kb('VmRSS')
    state = configuration.from_snapshot(data)
    held = resident_kb('VmRSS') - before
    state.snapshot()
    peak = resident_kb('VmHWM') - before
    print(
        f'{adapters} adapters: {held} kB more resident once read, {peak} kB '
        'at most, a snapshot written'
    )


def resident_kb(name: str) -> int:
    status = pathlib.Path('/proc/self/status').read_text(encoding='ascii')
    (line,) = (x for x in status.splitlines() if x.startswith(name))
    return int(line.split()[1])


class Fleet:
    """Followers and the messages between them, in rounds."""

    def __init__(self):
        self.now_ms = 0
        self.codec = link.Codec(messages.TAGS)
        self.records: list[messages.LogEntry] = []
        self.followers: dict[str, configuration.Follower] = {}
        self.peers: dict[str, list[str]] = collections.defaultdict(list)
        self.inbox: list[tuple[str, str, messages.Message]] = []
        self.calls: list[tuple[str, effects.ReadLog]] = []
        self.count = collections.Counter()
        self.sent_bytes = collections.Counter()
        self.handle_s = 0.0
        self.handled = 0
        self.waiting: dict[int, int] = {}

    def build(self, part: int) -> None:
        gateways = [f'gateway-{n:05d}' for n in range(FULL_GATEWAYS // part)]
        sidecars = [f'sidecar-{n:05d}' for n in range(FULL_SIDECARS // part)]
        self.gateways = gateways
        rows = tuple(
            events.Instance(
                name, GATEWAY, '', self.domain(index), '', '', False
            )
            for index, name in enumerate(gateways)
        )
        for index, name in enumerate(gateways + sidecars):
            role = GATEWAY if index < len(gateways) else ENDPOINT
            self.followers[name] = configuration.Follower(
                name, role, self.domain(index)
            )
        self.link_gateways()
        self.link_sidecars(sidecars)
        for name, follower in self.followers.items():
            self.take(name, follower.start(0))
            if follower.role is GATEWAY:
                listed = events.InstancesListed(0, rows)
                self.take(name, follower.handle(listed))

    def domain(self, index: int) -> str:
        return f'domain-{index % DOMAINS}'

    def link_gateways(self) -> None:
        """Link as ``gateway._peers`` does, whoever opens the link."""
        pairs = set()
        for name in self.gateways:
            state = gateway.State(
                gateway.Options(name), following.NullFollower()
            )
            state.peers = dict.fromkeys(x for x in self.gateways if x != name)
            pairs |= {frozenset((name, x)) for x in _peers.chosen_peers(state)}
        for one, other in map(sorted, pairs):
            self.peers[one].append(other)
            self.peers[other].append(one)

    def link_sidecars(self, sidecars: list[str]) -> None:
        """Link each to its feeders and to a few more gateways."""
        ring = configuration.Ring()
        ring.update(self.gateways)
        for name in sidecars:
            for owner in ring.owners(name, LINKS_OF_SIDECAR):
                self.peers[name].append(owner)
                self.peers[owner].append(name)

    def take(self, name: str, done) -> None:
        for effect in done:
            if isinstance(effect, effects.Send):
                self.inbox.append((name, effect.peer, effect.message))
                size = self.size(effect.message)
                self.count[type(effect.message).__name__] += 1
                self.sent_bytes[name] += size
            elif isinstance(effect, effects.ReadLog):
                self.calls.append((name, effect))

    def size(self, message: messages.Message) -> int:
        return len(self.codec.encode(message)) + FRAME_BYTES + PACKET_BYTES

    def feed(self, name: str, event: events.Event) -> None:
        start = time.perf_counter()
        done = self.followers[name].handle(event)
        self.handle_s += time.perf_counter() - start
        self.handled += 1
        self.take(name, done)

    def step(self) -> None:
        """Let a tick pass in all, and everything that comes of it."""
        self.now_ms += STEP_MS
        for name, follower in self.followers.items():
            start = time.perf_counter()
            done = follower.tick(
                self.now_ms, self.gateways, self.peers[name], name
            )
            self.handle_s += time.perf_counter() - start
            self.take(name, done)
        self.answer_reads()
        while self.inbox:
            self.round()

    def answer_reads(self) -> None:
        """Answer the reads; a long poll waits for a record or its time."""
        calls, self.calls = self.calls, []
        for name, call in calls:
            self.answer(name, call)

    def answer(self, name: str, call: effects.ReadLog) -> None:
        is_stream = call.stream == configuration.STREAM
        entries = tuple(self.records[call.from_offset :]) if is_stream else ()
        if call.wait_ms and not entries and not self.expired(call):
            self.calls.append((name, call))
            return
        self.waiting.pop(id(call), None)
        self.count['read'] += 1
        end = len(self.records) if is_stream else 0
        self.feed(
            name, events.LogRead(self.now_ms, call.stream, entries, 0, end)
        )

    def expired(self, call: effects.ReadLog) -> bool:
        """Tell whether a long poll has waited for its time."""
        since_ms = self.waiting.setdefault(id(call), self.now_ms)
        return self.now_ms - since_ms >= call.wait_ms

    def round(self) -> None:
        inbox, self.inbox = self.inbox, []
        for sender, receiver, message in inbox:
            event = events.MessageReceived(self.now_ms, sender, message)
            self.feed(receiver, event)

    def run(self, duration_ms: int) -> None:
        for _ in range(duration_ms // STEP_MS):
            self.step()

    def reset(self) -> None:
        self.count.clear()
        self.sent_bytes.clear()
        self.handle_s = 0.0
        self.handled = 0

    def at(self, revision: int) -> int:
        return sum(
            follower.current is not None
            and follower.current.revision >= revision
            for follower in self.followers.values()
        )


def measure_spread(part: int) -> None:
    fleet = Fleet()
    fleet.build(part)
    fleet.records.append(messages.LogEntry(0, 0, whole(10)))
    fleet.run(SETTLE_MS)
    total = len(fleet.followers)
    print(f'{fleet.at(1)} of {total} processes at revision 1 after the start')
    steady(fleet, total)
    one_change(fleet, total)


def steady(fleet: Fleet, total: int) -> None:
    """Count what goes on while nothing changes."""
    fleet.reset()
    fleet.run(STEADY_MS)
    seconds = STEADY_MS / 1000
    ages = sorted(
        fleet.followers[name].status(fleet.now_ms).age_ms
        for name in fleet.gateways
    )
    busiest = max(fleet.sent_bytes.values()) / seconds
    mean = sum(fleet.sent_bytes.values()) / total / seconds
    tells = fleet.count['ConfigurationAt'] / seconds
    print(
        f'idle: {tells:.0f} messages a second in all, '
        f'{mean:.0f} bytes a second sent by a process, {busiest:.0f} by the '
        f'busiest; {fleet.count["read"] / seconds:.0f} reads of the log a '
        f'second; age at gateways {ages[len(ages) // 2]} ms (median), '
        f'{ages[-1]} ms (most); '
        f'{fleet.handle_s / total / seconds * 1e6:.0f} us a second of '
        f'processor time a process, at {1000 // STEP_MS} ticks a second'
    )


def one_change(fleet: Fleet, total: int) -> None:
    """Append one change and count the rounds until all have it."""
    fleet.reset()
    (data,) = deltas(1, 1)
    fleet.records.append(messages.LogEntry(1, 0, data))
    fleet.now_ms += 1
    fleet.answer_reads()
    rounds = 0
    reached = []
    while fleet.inbox:
        rounds += 1
        fleet.round()
        reached.append(fleet.at(2))
    half = next(i for i, n in enumerate(reached, 1) if n >= total / 2)
    done = next((i for i, n in enumerate(reached, 1) if n == total), math.inf)
    pushes = fleet.count['ConfigurationEntries']
    sent = sum(fleet.sent_bytes.values())
    a_day = CHANGES_PER_DAY / DAY_S
    print(
        f'one change of {len(data)} bytes: {pushes} pushes, '
        f'{fleet.count["ConfigurationAt"]} tells, {sent} bytes in all, '
        f'{sent / total * a_day:.1f} bytes a second and process at '
        f'{CHANGES_PER_DAY} changes a day (busiest '
        f'{max(fleet.sent_bytes.values()) * a_day:.0f}); half of the '
        f'processes after {half} rounds, all after {done}; '
        f'{fleet.handle_s / fleet.handled * 1e6:.0f} us a message'
    )


MEASURES = {'fold': measure_fold, 'memory': measure_memory}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('what', choices=('fold', 'memory', 'spread'))
    parser.add_argument(
        '--part', type=int, default=1, help='size of the fleet as 1 / PART'
    )
    arguments = parser.parse_args()
    if arguments.what == 'spread':
        measure_spread(arguments.part)
        return
    measure = MEASURES[arguments.what]
    for adapters in ADAPTERS:
        measure(adapters)


if __name__ == '__main__':
    main()
