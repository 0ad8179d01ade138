"""The promises, checked from what callers and endpoints saw alone."""

import collections
import collections.abc
import dataclasses

from tools.soak import _admissions
from tools.soak import _callers
from tools.soak import _operator
from tools.soak import _schedule
from tools.soak import _streams
from tools.soak import _world

NOT_RUN = frozenset({401, 404, 408, 421, 429, 503})
SUPERSEDED_S = 5.0
"""Within which a new version of an adapter is in use everywhere."""

LINK_FAULTS = frozenset({'narrow', 'slow', 'silent', 'deaf', 'reset'})
"""The kinds of faults that are done to connections."""

MAX_BEFORE = 4
"""Exchanges of its caller that are shown before a broken one."""

RATE_WINDOW_S = 4
RATE_SHARE = 1.5
RATE_SLACK = 5
PAUSE_SLACK = 2
TOLD_S = 0.5
"""After an answer was passed on, what it says of its endpoint counts."""

MAX_LATE_RUNS = 3
"""Of a request that has crashed three endpoints, for the users' bound."""

MOST_CRASHES_OF_PART = 5

SERVED_SHARE = 0.8
"""Of what was asked in the last, calm seconds."""


@dataclasses.dataclass
class Verdict:
    """How often a promise was put to the question, and what broke it."""

    asked: int = 0
    broken: list[str] = dataclasses.field(default_factory=list)

    def check(self, held: bool, told: str) -> None:
        self.asked += 1
        if not held:
            self.broken.append(told)


def _ends(
    arrived: list[tuple[dict, _callers.Exchange]], until: float
) -> dict[int, float]:
    """Return when each start of an endpoint was followed by the next."""
    begun: dict[int, float] = {}
    for line, _ in arrived:
        begun.setdefault(line['started'], line['at'])
    return dict(zip(begun, [*begun.values(), until][1:], strict=True))


def _summary(exchange: _callers.Exchange) -> str:
    head = f'head {exchange.head_status} at {exchange.head_at:.3f}'
    end = f'ended {exchange.ended:.3f} with {exchange.status}'
    body = f'names {exchange.answer_id!r}, {exchange.body[:60]!r}'
    sent = f'{exchange.sent:.3f} before: {exchange.request_id}'
    return f'{sent}, {head}, {end}, {body}'


class Account:
    """Everything that was seen in a run."""

    def __init__(
        self,
        exchanges: list[_callers.Exchange],
        runs: list[dict],
        operator: _operator.Operator,
        schedule: _schedule.Schedule,
        calm_since: float,
        arrivals: list[dict] = (),
        admissions: _admissions.Seen = _admissions.NOTHING,
        streams: collections.abc.Sequence[_streams.Stream] = (),
    ):
        self.exchanges = [e for e in exchanges if e.ended]
        self.by_id = {e.request_id: e for e in self.exchanges}
        self.operator = operator
        self.schedule = schedule
        self.calm_since = calm_since
        self.admissions = admissions
        self.streams = streams
        self.arrivals = sorted(arrivals, key=lambda line: line['at'])
        self.runs: dict[str, list[dict]] = collections.defaultdict(list)
        for run in runs:
            self.runs[run['ran']].append(run)

    def verdicts(self) -> dict[str, Verdict]:
        """Return each promise with how it was kept."""
        return {
            name.replace('_', ' '): check()
            for name, check in (
                ('own_whole_answer', self.own_whole_answer),
                ('cut_answer_looks_cut', self.cut_answer),
                ('not_run_is_true', self.not_run_is_true),
                ('at_most_once', self.at_most_once),
                ('adapter_as_asked', self.adapter_as_asked),
                ('newest_version', self.newest_version),
                ('nothing_new_after_leaving', self.nothing_after_leaving),
                ('planned_stop_cuts_nothing', self.planned_stop),
                ('unknown_key_never_runs', self.unknown_key),
                ('revoked_key_ends_in_time', self.revoked_key),
                ('configuration_in_force_in_time', self.configuration),
                ('workspace_of_the_key', self.workspace),
                ('key_goes_nowhere', self.key_goes_nowhere),
                ('quota_in_every_window', self.quota),
                ('rate_over_all_gateways', self.rate),
                ('nothing_after_leaving_by_answers', self.leaving_by_answers),
                ('pause_is_kept', self.pause),
                ('only_culprits_are_quarantined', self.quarantined),
                ('crashing_request_ends_refused', self.culprit),
                ('crashing_request_ends_few_endpoints', self.bursts),
                ('bad_part_ends_few_endpoints', self.bad_parts),
                ('admission_ends_in_time', self.admission),
                ('admission_queues_end_empty', self.admission_queues),
                ('stream_of_one_software_version', self.one_version),
                ('broken_streams_go_on', self.streams_go_on),
                ('served_after_all', self.served),
            )
        }

    def timeline(self, request_id: str) -> list[str]:
        """Return what both sides saw of a request."""
        exchange = self.by_id.get(request_id)
        lines = []
        if exchange is not None:
            lines += [
                f'{exchange.sent:.3f} sent to {exchange.gateway}: {exchange}',
                f'{exchange.ended:.3f} answered {exchange.status}',
            ]
            lines += self._before_in_session(exchange)
        for run in self.runs[request_id]:
            where = f'{run["instance"]} with version {run["version"]}'
            lines.append(f'{run["at"]:.3f} runs at {where}')
        return sorted(lines)

    def _before_in_session(self, exchange: _callers.Exchange) -> list[str]:
        """Return the caller's last exchanges, mostly on one connection."""
        before = [
            other
            for other in self.exchanges
            if other.session == exchange.session
            and other.gateway == exchange.gateway
            and other.sent < exchange.sent
        ]
        return [_summary(other) for other in before[-MAX_BEFORE:]]

    def _pairs(self):
        for request_id, runs in self.runs.items():
            exchange = self.by_id.get(request_id)
            if exchange is not None:
                yield exchange, runs

    def own_whole_answer(self) -> Verdict:
        verdict = Verdict()
        for exchange in self.exchanges:
            if exchange.status == 200:
                plan, request_id = exchange.plan, exchange.request_id
                wanted = plan.body(request_id)
                if plan.cut and plan.looks_whole:
                    wanted = plan.sent_body(request_id)
                verdict.check(exchange.body == wanted, request_id)
            elif exchange.answer_id not in ('', exchange.request_id):
                verdict.check(False, exchange.request_id)
        return verdict

    def cut_answer(self) -> Verdict:
        """A cut answer that doesn't look whole doesn't become one."""
        verdict = Verdict()
        for exchange, _ in self._pairs():
            if exchange.plan.cut and not exchange.plan.looks_whole:
                held = exchange.status != 200
                verdict.check(held, exchange.request_id)
        return verdict

    def not_run_is_true(self) -> Verdict:
        verdict = Verdict()
        for exchange in self.exchanges:
            if exchange.status in NOT_RUN:
                ran = exchange.request_id in self.runs
                verdict.check(not ran, exchange.request_id)
        return verdict

    def at_most_once(self) -> Verdict:
        """Or as often as the route allows that the operator declared."""
        verdict = Verdict()
        most: dict[str, int] = {}
        for exchange, runs in self._pairs():
            path = exchange.path
            if path not in most:
                most[path] = self.operator.most_runs(path)
            verdict.check(len(runs) <= most[path], exchange.request_id)
        return verdict

    def adapter_as_asked(self) -> Verdict:
        verdict = Verdict()
        for exchange, runs in self._pairs():
            if exchange.adapter:
                wanted = f'{_operator.MODEL}/{exchange.adapter}'
                held = all(r['headers'].get('Model') == wanted for r in runs)
                verdict.check(held, exchange.request_id)
        return verdict

    def newest_version(self) -> Verdict:
        """With which a request begins, however long ago it was sent.

        Of gateways that were in touch, from before the naming until then, and
        while no link was disturbed.
        """
        verdict = Verdict()
        for named in self.operator.named:
            due = named.at + SUPERSEDED_S
            for exchange, runs in self._pairs():
                if exchange.adapter != named.what:
                    continue
                for run in runs:
                    if not due < run['at'] < due + SUPERSEDED_S:
                        continue
                    gateway = exchange.gateway
                    if self._may_know(gateway, named.at, run['at']):
                        held = run['version'] >= named.value
                        verdict.check(held, exchange.request_id)
        return verdict

    def nothing_after_leaving(self) -> Verdict:
        verdict = Verdict()
        for name, left in self.schedule.left.items():
            due = left + _world.DRAIN_MS / 1000
            for exchange, runs in self._pairs():
                for run in runs:
                    if run['instance'] != f'i-{name}' or exchange.sent < due:
                        continue
                    if self._in_touch(exchange.gateway, left, run['at']):
                        verdict.broken.append(exchange.request_id)
            verdict.asked += 1
        return verdict

    def planned_stop(self) -> Verdict:
        """A stopped gateway answers all that was sent before, as a whole."""
        verdict = Verdict()
        for fault in self.schedule.faults:
            if not fault.kind.startswith('stop'):
                continue
            if fault.target not in self.schedule.world.gateways:
                continue
            verdict.check(fault.kind == 'stop', f'{fault}')
            for exchange in self.exchanges:
                before = exchange.gateway == fault.target and (
                    fault.since - 1 < exchange.sent < fault.since
                )
                if not before or exchange.ended < fault.since:
                    continue
                if self._disturbed(exchange.sent - 1, exchange.ended, fault):
                    continue
                held = exchange.status is not None
                verdict.check(held, exchange.request_id)
        return verdict

    def unknown_key(self) -> Verdict:
        verdict = Verdict()
        for exchange in self.exchanges:
            if exchange.key == _operator.UNKNOWN_KEY:
                ran = exchange.request_id in self.runs
                verdict.check(not ran, exchange.request_id)
        return verdict

    def revoked_key(self) -> Verdict:
        """Holds for every gateway, whatever is done to it."""
        verdict = Verdict()
        for exchange in self.exchanges:
            at = self.operator.taken_away.get(exchange.key)
            if at is None or exchange.sent <= at + _world.REVOKE_MS / 1000:
                continue
            ran = exchange.request_id in self.runs
            verdict.check(not ran, exchange.request_id)
        return verdict

    def configuration(self) -> Verdict:
        """A route is there, or gone, in time after the confirmation."""
        verdict = Verdict()
        routes = {route.value: route for route in self.operator.large}
        replacing = dict(zip(routes, self.operator.large[1:], strict=False))
        for exchange in self.exchanges:
            route = routes.get(exchange.path)
            if route is None:
                continue
            replaced = replacing.get(exchange.path)
            if replaced is None or exchange.ended < replaced.begun:
                if self._is_due(exchange, route.at):
                    there = exchange.status != 404
                    verdict.check(there, exchange.request_id)
            elif self._is_due(exchange, replaced.at):
                ran = exchange.request_id in self.runs
                verdict.check(not ran, exchange.request_id)
        return verdict

    def _is_due(self, exchange: _callers.Exchange, at: float) -> bool:
        """Tell whether a change must have been in force for a request."""
        if exchange.sent <= at + _world.CONFIGURATION_MS / 1000:
            return False
        since = at - _world.CONTACT_MS / 1000
        return self._in_touch(
            exchange.gateway, at, exchange.ended
        ) and not any(
            fault.target.endswith(' link')
            for fault in self._faults(since, exchange.ended)
        )

    def workspace(self) -> Verdict:
        verdict = Verdict()
        for exchange, runs in self._pairs():
            wanted = _operator.WORKSPACE
            if exchange.key is None:
                wanted = None
            elif exchange.key == _operator.LIMITED_KEY:
                wanted = _operator.LIMITED
            elif exchange.key == _operator.FLOODING_KEY:
                wanted = _operator.FLOODING
            for run in runs:
                held = run['headers'].get('Tenant') == wanted
                verdict.check(held, exchange.request_id)
        return verdict

    def key_goes_nowhere(self) -> Verdict:
        verdict = Verdict()
        for exchange, runs in self._pairs():
            if exchange.key is not None:
                held = exchange.key not in str(runs)
                verdict.check(held, exchange.request_id)
        return verdict

    def quota(self) -> Verdict:
        """Over all gateways, in every window, whatever is done to them."""
        used = sorted(
            (run['at'], exchange.tokens)
            for exchange, runs in self._pairs()
            if exchange.key == _operator.LIMITED_KEY
            for run in runs
        )
        verdict = Verdict()
        window: collections.deque = collections.deque()
        total = 0
        for at, tokens in used:
            window.append((at, tokens))
            total += tokens
            while window[0][0] < at - _world.QUOTA_WINDOW_S:
                total -= window.popleft()[1]
            most = self._bound(at)
            verdict.check(total <= most, f'{total} of {most} at {at:.3f}')
        return verdict

    def _bound(self, at: float) -> float:
        """Return what may be used in the window that ends then.

        A lower limit binds one window after all have had the time to read
        it.
        """
        since = at - 2 * _world.QUOTA_WINDOW_S - _world.CONTACT_MS / 1000
        limits = self.operator.limits
        ends = [limit.at for limit in limits[1:]] + [at]
        rate = max(
            limit.value
            for limit, end in zip(limits, ends, strict=True)
            if end >= since and limit.at <= at
        )
        most = rate * _world.QUOTA_WINDOW_S + rate
        return most * (1 + _world.QUOTA_OVERRUN) + _world.QUOTA_SLACK

    def _arrived(self, word: _schedule.Word):
        """Yield what an endpoint got, and when, while it said something."""
        for line in self.arrivals:
            exchange = self.by_id.get(line['got'])
            if exchange is None or line['instance'] != word.instance:
                continue
            if word.since <= line['at'] < (word.until or line['at'] + 1):
                yield line, exchange

    def _told(
        self, arrived: list[tuple[dict, _callers.Exchange]]
    ) -> dict[tuple[str, int], float]:
        """Return when each gateway had first passed on an answer.

        Apart for each start of the endpoint: it is bound by its own word.
        """
        told: dict[tuple[str, int], float] = {}
        for line, exchange in arrived:
            start = exchange.gateway, line['started']
            earliest = told.get(start, exchange.ended)
            told[start] = min(earliest, exchange.ended)
        return told

    def _words(self, kind: str) -> list[_schedule.Word]:
        return [x for x in self.schedule.words if x.kind == kind]

    def rate(self) -> Verdict:
        """Summed over gateways that knew and were not replaced since."""
        verdict = Verdict()
        for word in self._words('rate'):
            arrived = [*self._arrived(word)]
            told_at: dict[str, float] = {}
            for (gateway, _), at in self._told(arrived).items():
                told_at[gateway] = min(at, told_at.get(gateway, at))
            counted: collections.deque = collections.deque()
            for line, exchange in arrived:
                at, told = line['at'], told_at[exchange.gateway]
                late = at >= word.since + _world.CONTACT_MS / 1000
                if not late or at < told + TOLD_S:
                    continue
                if not self._undisturbed(exchange.gateway, told, at):
                    continue
                counted.append(at)
                while counted[0] <= at - RATE_WINDOW_S:
                    counted.popleft()
                most = RATE_SHARE * word.value * RATE_WINDOW_S + RATE_SLACK
                verdict.check(len(counted) <= most, exchange.request_id)
        return verdict

    def leaving_by_answers(self) -> Verdict:
        """Asked of each gateway that a start told and could have sent more."""
        verdict = Verdict()
        drain_s = _world.DRAIN_MS / 1000
        for word in self._words('leaving'):
            arrived = [*self._arrived(word)]
            told = self._told(arrived)
            until = word.until or max(told.values(), default=0.0)
            ends = _ends(arrived, until)
            verdict.asked += sum(
                at + drain_s < ends[started]
                for (_, started), at in told.items()
            )
            for line, exchange in arrived:
                at = line['at']
                since = told[exchange.gateway, line['started']]
                if exchange.sent <= since + drain_s:
                    continue
                if self._undisturbed(exchange.gateway, since, at):
                    verdict.broken.append(exchange.request_id)
        return verdict

    def pause(self) -> Verdict:
        """Two requests at most until the end, half a second after it began."""
        verdict = Verdict()
        for word in self._words('pause'):
            begun: dict[str, list[float]] = collections.defaultdict(list)
            got: collections.Counter = collections.Counter()
            for line in self.arrivals:
                exchange = self.by_id.get(line['got'])
                if exchange is None or line['instance'] != word.instance:
                    continue
                at, gateway = line['at'], exchange.gateway
                in_pause = [
                    since
                    for since in begun[gateway]
                    if since + TOLD_S < at < since + word.value
                ]
                if in_pause and self._undisturbed(gateway, in_pause[0], at):
                    got[gateway] += 1
                    few = got[gateway] <= PAUSE_SLACK
                    verdict.check(few, exchange.request_id)
                if line['paused'] and word.since <= at < word.until + 0.1:
                    verdict.asked += 1
                    begun[gateway].append(at)
        return verdict

    def _undisturbed(self, name: str, since: float, until: float) -> bool:
        """Tell whether a gateway was not replaced or frozen since."""
        return not any(
            fault.target == name for fault in self._faults(since, until)
        )

    def quarantined(self) -> Verdict:
        """Whatever becomes of endpoints, nothing else is refused for it."""
        verdict = Verdict()
        for exchange in self.exchanges:
            if not exchange.is_culprit:
                wrong = exchange.is_quarantined
                verdict.check(not wrong, exchange.request_id)
        return verdict

    def culprit(self) -> Verdict:
        """At each gateway that must know of three crashes."""
        verdict = Verdict()
        culprits = [
            e for e in self.exchanges if e.path == _callers.CULPRIT_PATH
        ]
        crashed = sorted(
            run['at']
            for exchange in culprits
            for run in self.runs.get(exchange.request_id, ())
        )
        for exchange in culprits:
            if exchange.is_quarantined:
                verdict.asked += 1
                continue
            known_by = exchange.sent - _callers.KNOWN_S
            known = [at for at in crashed if at < known_by]
            if len(known) < _callers.MOST_CRASHES:
                continue
            since = known[-_callers.MOST_CRASHES]
            if self._hears_of_all(exchange.gateway, since, exchange.ended):
                ran = exchange.request_id in self.runs
                verdict.check(not ran, exchange.request_id)
        return verdict

    def bursts(self) -> Verdict:
        """Later than the bound after the third crash, over all gateways."""
        verdict = Verdict()
        for ran in self._runs_by(lambda exchange: exchange.burst):
            if len(ran) >= _callers.MOST_CRASHES:
                self._check_late(verdict, ran, _callers.MOST_CRASHES)
        return verdict

    def bad_parts(self) -> Verdict:
        """As for whole requests, after the fifth crash."""
        verdict = Verdict()
        for ran in self._runs_by(lambda exchange: exchange.bad_part):
            if len(ran) >= MOST_CRASHES_OF_PART:
                self._check_late(verdict, ran, MOST_CRASHES_OF_PART)
            else:
                verdict.asked += 1
        return verdict

    def _runs_by(
        self, culprit_of: collections.abc.Callable[[_callers.Exchange], str]
    ) -> collections.abc.Iterable[list[tuple[float, _callers.Exchange]]]:
        """Return the runs of each culprit, with their times."""
        runs_by = collections.defaultdict(list)
        for exchange, runs in self._pairs():
            culprit = culprit_of(exchange)
            if culprit:
                runs_by[culprit] += [(run['at'], exchange) for run in runs]
        return runs_by.values()

    def _check_late(
        self,
        verdict: Verdict,
        ran: list[tuple[float, _callers.Exchange]],
        most: int,
    ) -> None:
        """Check the runs later than the bound after so many crashes."""
        ran.sort(key=lambda item: item[0])
        last = ran[most - 1][0]
        late = [
            exchange.request_id
            for at, exchange in ran
            if at > last + _world.CONTACT_MS / 1000
            and self._hears_of_all(exchange.gateway, last, at)
        ]
        verdict.asked += 1
        verdict.broken += late[MAX_LATE_RUNS:]

    def _hears_of_all(self, gateway: str, since: float, until: float) -> bool:
        """Tell whether nothing kept other gateways' reports from one."""
        sidecars = {f's{name}' for name in self.schedule.world.models}
        return self._in_touch(gateway, since, until) and not any(
            fault.target.endswith(' link') or fault.target in sidecars
            for fault in self._faults(since, until)
        )

    def admission(self) -> Verdict:
        """After the faults, none waits longer than its deadline."""
        verdict = Verdict()
        for wait in self.admissions.waits:
            exchange = self.by_id.get(wait.shown_id)
            due = wait.since + _callers.CROWD_DEADLINE_MS / 1000
            if exchange is not None:
                due = exchange.sent + exchange.deadline_ms / 1000
            due = max(due, self.admissions.faults_ended)
            held = wait.until <= due + _admissions.LATE_S
            verdict.check(held, wait.shown_id or f'{wait}')
        return verdict

    def admission_queues(self) -> Verdict:
        verdict = Verdict()
        for name, waiting in self.admissions.queues.items():
            verdict.check(waiting == 0, f'{waiting} wait at {name}')
        return verdict

    def one_version(self) -> Verdict:
        """A stream has each event once, all of one software version."""
        verdict = Verdict()
        for stream in self.streams:
            if not stream.received:
                continue
            held = stream.is_in_order and len(stream.versions) == 1
            verdict.check(held, f'{stream.tries}: {stream.received}')
        return verdict

    def streams_go_on(self) -> Verdict:
        """Broken streams go on nearly as often as new ones begin.

        At gateways in touch, while two endpoints of their version serve.
        """
        verdict = Verdict()
        begun: list[bool] = []
        for stream in self.streams:
            for attempt in stream.tries:
                if not self._may_know(
                    attempt.gateway, attempt.sent, attempt.ended
                ):
                    continue
                if attempt.first == 1:
                    begun.append(attempt.got > 0)
                elif self._is_served(stream.received[0][1], attempt):
                    verdict.check(attempt.got > 0, f'{attempt}')
        asked, lost = verdict.asked, len(verdict.broken)
        if asked < _streams.LEAST_RESUMED or not begun:
            return Verdict()
        least = _streams.GOES_ON_SHARE * sum(begun) / len(begun)
        if asked - lost >= least * asked:
            verdict.broken.clear()
        return verdict

    def _is_served(self, version: str, attempt: _streams.Try) -> bool:
        """Tell whether two endpoints of a version served all the while."""
        since = attempt.sent - _streams.LISTED_S
        world = self.schedule.world
        ended = {
            fault.target for fault in self._faults(since, attempt.ended)
        } | {
            line['crashed'].removeprefix('i-')
            for line in world.crashes()
            if since < line['at'] < attempt.ended
        }
        serving = [
            name
            for name in world.plain
            if name not in ended
            and self.schedule.left.get(name, float('inf')) > attempt.ended
            and world.software_at(name, since) == version
        ]
        return len(serving) >= 2

    def served(self) -> Verdict:
        """In the calm seconds at the end most of what is allowed is served."""
        verdict = Verdict()
        for exchange in self.exchanges:
            if exchange.sent < self.calm_since:
                continue
            if exchange.key not in (None, self.operator.key):
                continue
            verdict.check(exchange.status == 200, exchange.request_id)
        few = len(verdict.broken) <= (1 - SERVED_SHARE) * verdict.asked
        if few:
            verdict.broken.clear()
        return verdict

    def _disturbed(self, since: float, until: float, but=None) -> bool:
        """Tell whether anything was disturbed between two times."""
        since -= _world.CONTACT_MS / 1000
        return any(fault is not but for fault in self._faults(since, until))

    def _in_touch(self, gateway: str, since: float, until: float) -> bool:
        """Tell whether a gateway and the store were well all the while."""
        targets = {gateway, f'{gateway} store', 'store'}
        since -= _world.CONTACT_MS / 1000
        return not any(
            fault.target in targets for fault in self._faults(since, until)
        )

    def _may_know(self, gateway: str, since: float, until: float) -> bool:
        """Tell whether a gateway was in touch and no link was disturbed."""
        return self._in_touch(gateway, since, until) and not any(
            fault.kind in LINK_FAULTS
            for fault in self._faults(since - _world.CONTACT_MS / 1000, until)
        )

    def _faults(self, since: float, until: float):
        """Yield the faults that lasted at some time between two times."""
        for fault in self.schedule.faults:
            if fault.since < until and (fault.until or until) > since:
                yield fault
