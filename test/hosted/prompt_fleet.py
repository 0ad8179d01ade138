"""A crash fleet whose requests have prompts; one part of them is bad.

An endpoint that begins to write an answer on a bad part crashes a moment
later, whatever else the request holds. Requests with it are never alike. Sound
ones share its caller and its other parts.
"""

import collections
import dataclasses

from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from test import builders as samples
from test.hosted import crash_fleet
from test import platform_builders as builders

CULPRIT = crash_fleet.CULPRIT
INNOCENT = crash_fleet.INNOCENT
MAX_LATE_RUNS = 3
CRASHES_BEFORE_BOUND = 5
LEAST_SHARE = 0.5
"""Of the requests that began before the first crash."""

QUEUED_MS = (5, 300)
CRASH_MS = (37, 100)
ANSWER_MS = (150, 2000)


@dataclasses.dataclass(frozen=True)
class Prompts:
    """What requests ask for: kinds of first parts and, after each, seconds.

    The first ``bad`` second parts are bad, or the first parts if ``bad_first``
    is set. One request in ``interval_ms`` is sound, one in ``culprit_ms`` has
    a bad part. One in ``whole_ms`` is always the same, with sound parts, and
    crashes endpoints as a whole. With ``turns_bad`` sound requests have the
    bad part, too, until ``from_ms``.
    """

    firsts: int = 3
    seconds: int = 20
    bad: int = 1
    bad_first: bool = False
    interval_ms: int = 25
    culprit_ms: int = 400
    whole_ms: int = 0
    turns_bad: bool = False
    from_ms: int = 5000
    until_ms: int = 60_000


class PromptFleet(crash_fleet.CrashFleet):
    """Plays one setup with prompts.

    ``begun`` has when each request began to write, by id, ``held`` the ids of
    those that waited or asked for a permit as suspects. ``runs_of`` and
    ``crashes_of`` have when requests with a bad part reached endpoints, and
    when these crashed, by part.
    """

    def __init__(self, setup, prompts):
        self.prompts = prompts
        self.parts = {}
        self.begun = {}
        self.held = set()
        self.runs_of = collections.defaultdict(list)
        self.crashes_of = collections.defaultdict(list)
        super().__init__(setup)
        kind = 'first' if prompts.bad_first else 'second-0'
        self.bad = frozenset(f'{kind}-{n}' for n in range(prompts.bad))

    # Callers.

    def play(self):
        """Send requests up to the end, and play what they lead to."""
        prompts = self.prompts
        for at_ms in range(1000, prompts.until_ms, prompts.interval_ms):
            self.at(at_ms, self.ask, False)
        each_ms = prompts.culprit_ms
        for at_ms in range(prompts.from_ms, prompts.until_ms, each_ms):
            if prompts.bad:
                self.at(at_ms, self.ask, True)
        if prompts.whole_ms:
            for at_ms in range(
                prompts.from_ms, prompts.until_ms, prompts.whole_ms
            ):
                self.at(at_ms, self.ask_the_same)
        self.run_until(prompts.until_ms)

    def ask(self, is_bad):
        """Send a request with parts that others share, as its last."""
        name = f'g{self.random.randrange(self.setup.gateways) + 1}'
        prompts = self.prompts
        is_early = prompts.turns_bad and self.now_ms < prompts.from_ms
        parts = self._choose(is_bad or is_early)
        if is_early and name in self.gateways:
            self._send_request(name, INNOCENT, parts)
            return
        if name not in self.gateways or self.bad.isdisjoint(parts) is is_bad:
            return
        self._send_request(name, CULPRIT if is_bad else INNOCENT, parts)

    def ask_the_same(self):
        """Send a request that crashes endpoints as a whole."""
        name = f'g{self.random.randrange(self.setup.gateways) + 1}'
        if name in self.gateways:
            parts = 'first-0', 'second-0-1'
            self._send_request(name, CULPRIT, parts, fingerprint=CULPRIT)

    def _send_request(self, name, kind, parts, **changes):
        self.sent += 1
        request = samples.request(
            f'{kind}-{self.sent}',
            host=builders.HOST,
            path=crash_fleet.MODEL_PATH,
            adapter=None,
            deadline_ms=5000,
            shared_parts=parts,
            **changes,
        )
        self.parts[request.request_id] = parts
        self.arrived[request.request_id] = self.now_ms
        seed = self.random.random()
        self.feed(name, events.RequestArrived(self.now_ms, request, seed))

    def _choose(self, is_bad):
        first = int(self.prompts.firsts * self.random.random() ** 2)
        skew = 2 if self.prompts.seconds > 2 else 1
        second = int(self.prompts.seconds * self.random.random() ** skew)
        if is_bad:
            bad = self.random.randrange(self.prompts.bad)
            if self.prompts.bad_first:
                first = bad
            else:
                first, second = 0, bad
        return f'first-{first}', f'second-{first}-{second}'

    def feed(self, name, event):
        super().feed(name, event)
        if name in self.gateways:
            requests = self.gateways[name].requests.items()
            self.held.update(
                request_id
                for request_id, active in requests
                if active.permit_wanted_ms is not None
            )

    # Endpoints.

    def _begin(self, endpoint, run):
        for part in self._bad_parts(run):
            self.runs_of[part].append(self.now_ms)
        wait_ms = self.random.randint(*QUEUED_MS)
        self.after(wait_ms, self._begin_to_write, endpoint, run)

    def _begin_to_write(self, endpoint, run):
        key = run.gateway, run.offer.attempt_id
        if endpoint.runs.get(key) is not run:
            return
        self.begun[run.offer.request_id] = self.now_ms
        self._answer(run, endpoint.name, self._started(run.offer))
        first = messages.Data(run.offer.attempt_id, 0, b'x')
        self._answer(run, endpoint.name, first)
        lasts_ms = self.random.randint(
            *(CRASH_MS if run.is_culprit else ANSWER_MS)
        )
        self.after(lasts_ms, self._end_run, endpoint, run)

    def _end_run(self, endpoint, run):
        crashes = len(self.crashes_ms)
        super()._end_run(endpoint, run)
        if len(self.crashes_ms) > crashes:
            for part in self._bad_parts(run):
                self.crashes_of[part].append(self.now_ms)

    def _bad_parts(self, run):
        return self.bad.intersection(self.parts[run.offer.request_id])

    # What is judged.

    def late_runs(self):
        """Return the most runs with one bad part that count as late."""
        return max(map(self._late_runs_of, self.bad), default=0)

    def _late_runs_of(self, part):
        crashes_ms = self.crashes_of[part]
        if len(crashes_ms) < CRASHES_BEFORE_BOUND:
            return 0
        fifth_ms = crashes_ms[CRASHES_BEFORE_BOUND - 1]
        from_ms = fifth_ms + crash_fleet.CONTACT_MS
        return sum(at_ms > from_ms for at_ms in self.runs_of[part])

    def refused(self):
        """Return the ids of the requests that were refused as suspects."""
        kinds = errors.Kind.SUSPECT, errors.Kind.QUARANTINED
        return {x.request_id for x in self.outcomes if x.kind in kinds}

    def sound_share(self):
        """Return how many sound requests begin, against those before.

        Only those with the first part of the bad ones count, from twice the
        time of contact after the fifth crash, or the last if there are fewer.
        """
        if not self.crashes_ms:
            return 1.0
        last = min(CRASHES_BEFORE_BOUND, len(self.crashes_ms)) - 1
        from_ms = self.crashes_ms[last] + 2 * crash_fleet.CONTACT_MS
        before = self._begun_share(2000, self.crashes_ms[0] - 1000)
        after = self._begun_share(from_ms, self.prompts.until_ms - 1000)
        return after / before

    def _begun_share(self, from_ms, until_ms):
        sent = [
            request_id
            for request_id, at_ms in self.arrived.items()
            if from_ms <= at_ms < until_ms
            and request_id.startswith(INNOCENT)
            and self.parts[request_id][0] == 'first-0'
        ]
        if not sent:
            return 1.0
        return sum(x in self.begun for x in sent) / len(sent)
