"""Measure goodput when more is asked for than the deployment can do.

python -m tools.overload

Goodput counts what callers wanted and got whole by its first deadline,
however often they had to send it. Capacity is what the engines can do with
every place of every batch taken and no time lost to loads or prompts.
"""

import argparse
import concurrent.futures
import dataclasses
import pathlib

from berylhollow import replay
from berylhollow.replay import _statistics as statistics
from berylhollow import settings
from tools import overload_callers
from tools import trace_shapes
from tools import trace_users

ROOT = pathlib.Path(__file__).parent.parent
LOADS = (0.5, 0.8, 1.0, 1.2, 1.5, 2.0, 3.0)
LENGTH_MS = 40_000
SEEDS = (1,)
MS_PER_SECOND = 1000
GREEDY_TIMES = 10
GREEDY_LOAD = 0.7
"""What all callers but the greedy one offer together, of the capacity."""
HOT_ADAPTERS = 10
GREEDY = 'firm-greedy'
Habit = overload_callers.Habit


@dataclasses.dataclass(frozen=True)
class Point:
    """What a load did in one run; ``load`` is a multiple of capacity."""

    user: str
    habit: Habit
    load: float
    offered_per_s: float
    goodput_per_s: float
    sends: float
    refused_ms: float

    @property
    def on_time(self) -> float:
        return self.goodput_per_s / self.offered_per_s


def deployment(user: trace_users.User) -> settings.ReplaySettings:
    """Return the settings of the user's deployment of today."""
    return settings.load(settings_path(user), settings.Role.REPLAY)


def settings_path(user: trace_users.User) -> pathlib.Path:
    return ROOT / 'examples' / user.name / 'replay.jsonc'


def capacity_per_s(user: trace_users.User) -> float:
    """Return the requests a second that the engines can do at most."""
    engines = deployment(user).engines
    places = engines.batch_limit
    step_ms = engines.step_ms
    step_ms += places * (engines.request_ms + engines.adapter_ms)
    tokens_per_s = engines.count * places * MS_PER_SECOND / step_ms
    span = user.output_tokens
    return tokens_per_s * 2 / (span.low + span.high)


def measure(name: str, habit: Habit, load: float, seed: int) -> Point:
    """Replay one trace at a multiple of the user's capacity."""
    user = trace_users.USERS[name]
    user = dataclasses.replace(user, rate_per_s=capacity_per_s(user) * load)
    items = trace_shapes.make('steady-zipf', user, LENGTH_MS, seed)
    wishes = run(user, items, habit, seed)
    seconds = LENGTH_MS / MS_PER_SECOND
    refused_ms = [pause for wish in wishes for pause in wish.refused_ms]
    return Point(
        name,
        habit,
        load,
        len(wishes) / seconds,
        sum(wish.on_time for wish in wishes) / seconds,
        sum(wish.sent for wish in wishes) / len(wishes),
        sum(refused_ms) / max(1, len(refused_ms)),
    )


def run(
    user: trace_users.User,
    items: list[replay.TraceRequest],
    habit: Habit,
    seed: int,
) -> list[overload_callers.Wish]:
    """Replay a trace in the user's own deployment."""
    declared = deployment(user)
    given = replay.load_manifest(settings_path(user), declared)
    view = replay.configure(given, declared, items)
    return overload_callers.Callers(declared, view, items, habit, seed).run()


@dataclasses.dataclass(frozen=True)
class Fairness:
    """On-time shares of callers with one that asks for ten times as much.

    ``others`` is the share of all the others, ``alone`` their share when
    the greedy one is not there; ``jain`` is Jain's index of the others'
    on-time shares with it.
    """

    user: str
    alone: float
    others: float
    greedy: float
    jain: float


def fairness(name: str, seed: int) -> Fairness:
    """Replay equal callers of few adapters, without and with a greedy one."""
    user = trace_users.USERS[name]
    equal = equal_callers(user, seed)
    alone = run(user, equal, Habit.RETRY_AFTER, seed)
    both = run(user, with_greedy(user, equal, seed), Habit.RETRY_AFTER, seed)
    others = [wish for wish in both if wish.item.caller != GREEDY]
    greedy = [wish for wish in both if wish.item.caller == GREEDY]
    by_caller = {wish.item.caller: [] for wish in others}
    for wish in others:
        by_caller[wish.item.caller].append(wish)
    return Fairness(
        name,
        on_time(alone),
        on_time(others),
        on_time(greedy),
        statistics.jain_fairness([on_time(x) for x in by_caller.values()]),
    )


def equal_callers(
    user: trace_users.User, seed: int
) -> list[replay.TraceRequest]:
    """Return a trace of callers with one hot adapter and rate each."""
    rate_per_s = capacity_per_s(user) * GREEDY_LOAD
    user = dataclasses.replace(
        user, adapters=HOT_ADAPTERS, callers=HOT_ADAPTERS, exponent=0.0
    )
    return steady(user, rate_per_s, seed)


def with_greedy(
    user: trace_users.User, equal: list[replay.TraceRequest], seed: int
) -> list[replay.TraceRequest]:
    """Return the trace with a caller of ten times another's load."""
    rate_per_s = capacity_per_s(user) * GREEDY_LOAD / HOT_ADAPTERS
    user = dataclasses.replace(user, adapters=HOT_ADAPTERS, exponent=0.0)
    more = steady(user, rate_per_s * GREEDY_TIMES, seed + 1)
    more = [dataclasses.replace(item, caller=GREEDY) for item in more]
    return sorted([*equal, *more], key=lambda item: item.at_ms)


def steady(
    user: trace_users.User, rate_per_s: float, seed: int
) -> list[replay.TraceRequest]:
    user = dataclasses.replace(user, rate_per_s=rate_per_s)
    return trace_shapes.make('steady-zipf', user, LENGTH_MS, seed)


def on_time(wishes: list[overload_callers.Wish]) -> float:
    """Return the share of wishes that were answered on time."""
    return sum(wish.on_time for wish in wishes) / max(1, len(wishes))


def mean(points: list[Point]) -> Point:
    """Return the mean of the points of several seeds."""

    def of(name: str) -> float:
        return sum(getattr(point, name) for point in points) / len(points)

    return dataclasses.replace(
        points[0],
        offered_per_s=of('offered_per_s'),
        goodput_per_s=of('goodput_per_s'),
        sends=of('sends'),
        refused_ms=of('refused_ms'),
    )


def sweep(workers: int) -> list[Point]:
    """Measure every user, habit and load, the seeds of each averaged."""
    cells = [
        (user, habit, load)
        for user in trace_users.USERS
        for habit in Habit
        for load in LOADS
    ]
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        futures = [
            [pool.submit(measure, *cell, seed) for seed in SEEDS]
            for cell in cells
        ]
        return [mean([x.result() for x in seeds]) for seeds in futures]


def of_peak(points: list[Point], user: str, habit: Habit) -> float:
    """Return the goodput at twice the capacity as a share of the peak."""
    chosen = [x for x in points if x.user == user and x.habit is habit]
    peak = max(point.goodput_per_s for point in chosen)
    doubled = next(point for point in chosen if point.load == 2.0)
    return doubled.goodput_per_s / peak


def table(points: list[Point]) -> str:
    """Return the points as the rows of a table."""
    head = (
        '| user | resends | load | offered/s | goodput/s | on time | sends '
        '| refused after |\n|---|---|---|---|---|---|---|---|\n'
    )
    return head + ''.join(
        f'| {x.user} | {x.habit.value} | {x.load} | {x.offered_per_s:.1f} '
        f'| {x.goodput_per_s:.2f} | {x.on_time:.1%} | {x.sends:.2f} '
        f'| {x.refused_ms:.0f} ms |\n'
        for x in points
    )


def fairness_table(workers: int) -> str:
    """Measure fairness for each user and return the rows of a table."""
    cells = [(user, seed) for user in trace_users.USERS for seed in SEEDS]
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        rows = list(pool.map(fairness, *zip(*cells, strict=True)))
    head = (
        '| user | others without the greedy caller | others with it '
        '| greedy | Jain of others |\n|---|---|---|---|---|\n'
    )
    return head + ''.join(
        f'| {x.user} | {x.alone:.1%} | {x.others:.1%} | {x.greedy:.1%} '
        f'| {x.jain:.4f} |\n'
        for x in rows
    )


def plot(points: list[Point], path: pathlib.Path) -> None:
    """Draw goodput over offered load."""
    import matplotlib

    matplotlib.use('svg')
    matplotlib.rcParams['svg.hashsalt'] = 'overload'
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, len(trace_users.USERS), figsize=(9, 3.5))
    for axis, user in zip(axes, trace_users.USERS, strict=True):
        for habit in Habit:
            chosen = [x for x in points if (x.user, x.habit) == (user, habit)]
            axis.plot(
                [point.load for point in chosen],
                [point.goodput_per_s for point in chosen],
                marker='o',
                label=f'resends {habit.value}',
            )
        axis.set_title(user)
        axis.set_xlabel('offered load / capacity')
        axis.set_ylabel('goodput, answers/s')
        axis.set_ylim(bottom=0)
        axis.legend()
    figure.tight_layout()
    figure.savefig(path, metadata={'Date': None})


def main() -> None:
    arguments = parse_arguments()
    points = sweep(arguments.workers)
    text = table(points) + '\n' + fairness_table(arguments.workers)
    print(text)
    if arguments.out:
        folder = pathlib.Path(arguments.out)
        (folder / '0013-overload-table.md').write_text(text, 'utf-8')
        plot(points, folder / '0013-overload.svg')
    results = [
        f'{user} 2x/peak='
        f'{min(of_peak(points, user, habit) for habit in Habit):.3f}'
        for user in trace_users.USERS
    ]
    print('overload: ' + ' ; '.join(results))


def parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='python -m tools.overload')
    parser.add_argument('--workers', type=int, default=4)
    parser.add_argument('--out', default='', help='folder of the table')
    return parser.parse_args()


if __name__ == '__main__':
    main()
