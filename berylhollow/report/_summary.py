"""The figures of a report, for the page and as JSON."""

import collections
import collections.abc
import dataclasses
import json

from berylhollow.report import _burn
from berylhollow.report import _objectives
from berylhollow.report import _records

MAX_WORST = 10
MAX_BUCKETS = 120
MIN_BUCKET_MS = 1000
UNKNOWN_SERVICE = 'not known'
"""Stands for the service of requests that failed before it was known.

A gateway without a configuration can't tell the service of a request.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The burn of one objective of one service."""

    service: str
    objective: _objectives.Objective
    burn: _burn.Burn


@dataclasses.dataclass(frozen=True, slots=True)
class WorstEntry:
    """An adapter or caller with its answers that missed any objective."""

    name: str
    answers: int
    bad: int


@dataclasses.dataclass(frozen=True, slots=True)
class Series:
    """Burn rates of one objective over time, one per time bucket.

    A rate is None for a bucket without answers.
    """

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
    worst_adapters: tuple[WorstEntry, ...]
    worst_callers: tuple[WorstEntry, ...]
    marks: tuple[_records.Mark, ...]
    kinds: tuple[tuple[str, int], ...]


def summarize(records: _records.Records) -> Summary:
    """Return the figures; raise ``ValueError`` if there are no answers."""
    if not records.answers:
        raise ValueError('no answered request in the logs')
    start_ms = records.answers[0].at_ms
    end_ms = records.answers[-1].at_ms
    verdicts_by_objective = _collect_verdicts(records.answers)
    return Summary(
        start_ms=start_ms,
        end_ms=end_ms,
        answers=len(records.answers),
        skipped=records.skipped,
        results=_compute_results(verdicts_by_objective, start_ms, end_ms),
        series=_compute_series(verdicts_by_objective, start_ms, end_ms),
        worst_adapters=_rank_worst(records.answers, lambda x: x.adapter),
        worst_callers=_rank_worst(records.answers, lambda x: x.caller),
        marks=_drop_repeated_revisions(records.marks),
        kinds=_count_kinds(records.answers),
    )


def to_json(summary: Summary) -> str:
    """Return the figures as a JSON document."""
    document = {
        'start_ms': summary.start_ms,
        'end_ms': summary.end_ms,
        'answers': summary.answers,
        'skipped_lines': summary.skipped,
        'objectives': [_result_to_dict(result) for result in summary.results],
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


VerdictsByObjective = dict[tuple[str, str], list[tuple[int, bool]]]


def _collect_verdicts(
    answers: collections.abc.Iterable[_records.Answer],
) -> VerdictsByObjective:
    verdicts_by_objective: VerdictsByObjective = {}
    for answer in answers:
        for objective in _objectives.OBJECTIVES:
            good = objective.judge(answer)
            if good is None:
                continue
            key = (answer.service or UNKNOWN_SERVICE, objective.name)
            verdicts_by_objective.setdefault(key, []).append(
                (answer.at_ms, good)
            )
    return verdicts_by_objective


def alerting_results(summary: Summary) -> tuple[Result, ...]:
    """Return the results with a firing alert."""
    return tuple(
        result
        for result in summary.results
        if any(window.alert for window in result.burn.windows)
    )


def _objective_by_name(name: str) -> _objectives.Objective:
    return next(x for x in _objectives.OBJECTIVES if x.name == name)


def _compute_results(
    verdicts_by_objective: VerdictsByObjective, start_ms: int, end_ms: int
) -> tuple:
    results = []
    for (service, name), verdicts in sorted(verdicts_by_objective.items()):
        objective = _objective_by_name(name)
        burn = _burn.compute_burn(verdicts, objective.budget, start_ms, end_ms)
        results.append(Result(service, objective, burn))
    return tuple(results)


def _compute_series(
    verdicts_by_objective: VerdictsByObjective, start_ms: int, end_ms: int
) -> tuple:
    step_ms = max(MIN_BUCKET_MS, -(-(end_ms - start_ms + 1) // MAX_BUCKETS))
    starts = tuple(range(start_ms, end_ms + 1, step_ms))
    all_series = []
    for (service, name), verdicts in sorted(verdicts_by_objective.items()):
        verdict_counts = _burn.VerdictCounts(verdicts)
        budget = _objective_by_name(name).budget
        rates = tuple(
            _bucket_rate(verdict_counts, at_ms, at_ms + step_ms - 1, budget)
            for at_ms in starts
        )
        all_series.append(Series(service, name, starts, rates))
    return tuple(all_series)


def _bucket_rate(
    verdict_counts: _burn.VerdictCounts,
    from_ms: int,
    to_ms: int,
    budget: float,
) -> float | None:
    total, bad = verdict_counts.counts(from_ms, to_ms)
    return bad / total / budget if total else None


def _rank_worst(answers, key) -> tuple[WorstEntry, ...]:
    total: collections.Counter = collections.Counter()
    bad: collections.Counter = collections.Counter()
    for answer in answers:
        name = key(answer)
        if not name:
            continue
        total[name] += 1
        verdicts = [x.judge(answer) for x in _objectives.OBJECTIVES]
        bad[name] += any(verdict is False for verdict in verdicts)
    entries = [WorstEntry(name, total[name], bad[name]) for name in total]
    entries = [worst for worst in entries if worst.bad]
    entries.sort(key=lambda worst: (-worst.bad, worst.name))
    return tuple(entries[:MAX_WORST])


def _drop_repeated_revisions(marks) -> tuple[_records.Mark, ...]:
    """Return the marks with one per revision, as every process logs it."""
    seen = set()
    kept = []
    for mark in marks:
        if mark.kind is _records.MarkKind.CONFIGURATION:
            if mark.detail in seen:
                continue
            seen.add(mark.detail)
        kept.append(mark)
    return tuple(kept)


def _count_kinds(answers) -> tuple[tuple[str, int], ...]:
    counted = collections.Counter(x.kind for x in answers if x.kind)
    return tuple(sorted(counted.items(), key=lambda pair: -pair[1]))


def _result_to_dict(result: Result) -> dict:
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
