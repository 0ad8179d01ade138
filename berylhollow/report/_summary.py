"""The figures of a report, for the page and as JSON."""

import collections
import collections.abc
import dataclasses
import json

from berylhollow.report import _burn
from berylhollow.report import _objectives
from berylhollow.report import _records

WORST = 10
BUCKETS = 120
MIN_BUCKET_MS = 1000
NO_SERVICE = 'not known'
"""Of requests that failed before a configuration told their service."""


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """One objective of one service."""

    service: str
    objective: _objectives.Objective
    burn: _burn.Burn


@dataclasses.dataclass(frozen=True, slots=True)
class Worst:
    """An adapter or caller and its bad answers, over all objectives."""

    name: str
    answers: int
    bad: int


@dataclasses.dataclass(frozen=True, slots=True)
class Series:
    """Burn rates of one result over time, one a bucket."""

    service: str
    objective: str
    starts_ms: tuple[int, ...]
    rates: tuple[float | None, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Everything that a report shows; times in ms since the epoch, UTC."""

    start_ms: int
    end_ms: int
    answers: int
    skipped: int
    results: tuple[Result, ...]
    series: tuple[Series, ...]
    worst_adapters: tuple[Worst, ...]
    worst_callers: tuple[Worst, ...]
    marks: tuple[_records.Mark, ...]
    kinds: tuple[tuple[str, int], ...]


def summarize(records: _records.Records) -> Summary:
    """Return the figures of the records; raises ValueError without any."""
    if not records.answers:
        raise ValueError('no answered request in the logs')
    start_ms = records.answers[0].at_ms
    end_ms = records.answers[-1].at_ms
    judged = _judge(records.answers)
    return Summary(
        start_ms=start_ms,
        end_ms=end_ms,
        answers=len(records.answers),
        skipped=records.skipped,
        results=_results(judged, start_ms, end_ms),
        series=_series(judged, start_ms, end_ms),
        worst_adapters=_worst(records.answers, lambda x: x.adapter),
        worst_callers=_worst(records.answers, lambda x: x.caller),
        marks=_first_of_each_revision(records.marks),
        kinds=_kinds(records.answers),
    )


def to_json(summary: Summary) -> str:
    """Return the figures as a JSON document."""
    document = {
        'start_ms': summary.start_ms,
        'end_ms': summary.end_ms,
        'answers': summary.answers,
        'skipped_lines': summary.skipped,
        'objectives': [_result_json(result) for result in summary.results],
        'worst_adapters': [
            dataclasses.asdict(worst) for worst in summary.worst_adapters
        ],
        'worst_callers': [
            dataclasses.asdict(worst) for worst in summary.worst_callers
        ],
        'kinds': dict(summary.kinds),
        'marks': [
            dataclasses.asdict(mark) | {'kind': mark.kind.value}
            for mark in summary.marks
        ],
    }
    return json.dumps(document, indent=2)


Judged = dict[tuple[str, str], list[tuple[int, bool]]]


def _judge(answers: collections.abc.Iterable[_records.Answer]) -> Judged:
    judged: Judged = {}
    for answer in answers:
        for objective in _objectives.OBJECTIVES:
            good = objective.judge(answer)
            if good is None:
                continue
            key = (answer.service or NO_SERVICE, objective.name)
            judged.setdefault(key, []).append((answer.at_ms, good))
    return judged


def alerts(summary: Summary) -> tuple[Result, ...]:
    """Return the objectives of which an alert is on."""
    return tuple(
        result
        for result in summary.results
        if any(window.alert for window in result.burn.windows)
    )


def _by_name(name: str) -> _objectives.Objective:
    return next(x for x in _objectives.OBJECTIVES if x.name == name)


def _results(judged: Judged, start_ms: int, end_ms: int) -> tuple:
    found = []
    for (service, name), verdicts in sorted(judged.items()):
        objective = _by_name(name)
        burn = _burn.burn(verdicts, objective.budget, start_ms, end_ms)
        found.append(Result(service, objective, burn))
    return tuple(found)


def _series(judged: Judged, start_ms: int, end_ms: int) -> tuple:
    step_ms = max(MIN_BUCKET_MS, -(-(end_ms - start_ms + 1) // BUCKETS))
    starts = tuple(range(start_ms, end_ms + 1, step_ms))
    found = []
    for (service, name), verdicts in sorted(judged.items()):
        sums = _burn.Judged(verdicts)
        budget = _by_name(name).budget
        rates = tuple(
            _bucket_rate(sums, at_ms, at_ms + step_ms - 1, budget)
            for at_ms in starts
        )
        found.append(Series(service, name, starts, rates))
    return tuple(found)


def _bucket_rate(
    sums: _burn.Judged, from_ms: int, to_ms: int, budget: float
) -> float | None:
    total, bad = sums.counts(from_ms, to_ms)
    return bad / total / budget if total else None


def _worst(answers, key) -> tuple[Worst, ...]:
    total: collections.Counter = collections.Counter()
    bad: collections.Counter = collections.Counter()
    for answer in answers:
        name = key(answer)
        if not name:
            continue
        total[name] += 1
        verdicts = [x.judge(answer) for x in _objectives.OBJECTIVES]
        bad[name] += any(verdict is False for verdict in verdicts)
    found = [Worst(name, total[name], bad[name]) for name in total]
    found = [worst for worst in found if worst.bad]
    found.sort(key=lambda worst: (-worst.bad, worst.name))
    return tuple(found[:WORST])


def _first_of_each_revision(marks) -> tuple[_records.Mark, ...]:
    """Keep one mark a revision: every process logs it."""
    seen = set()
    kept = []
    for mark in marks:
        if mark.kind is _records.MarkKind.CONFIGURATION:
            if mark.detail in seen:
                continue
            seen.add(mark.detail)
        kept.append(mark)
    return tuple(kept)


def _kinds(answers) -> tuple[tuple[str, int], ...]:
    counted = collections.Counter(x.kind for x in answers if x.kind)
    return tuple(sorted(counted.items(), key=lambda pair: -pair[1]))


def _result_json(result: Result) -> dict:
    return {
        'service': result.service,
        'objective': result.objective.name,
        'target': result.objective.target,
        'good': result.burn.good,
        'bad': result.burn.bad,
        'budget_left': round(result.burn.budget_left, 4),
        'windows': [
            {
                'window': burn.window.name,
                'long_rate': round(burn.long_rate, 3),
                'short_rate': round(burn.short_rate, 3),
                'threshold': burn.window.threshold,
                'severity': burn.window.severity,
                'alert': burn.alert,
                'covered': burn.covered,
            }
            for burn in result.burn.windows
        ],
    }
