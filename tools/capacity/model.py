"""Slope times size: what each role costs in a deployment."""

import collections.abc
import dataclasses

from tools.capacity import figures

Found = dict[str, figures.Slope | figures.Value]

DAY_S = 86_400
TICKS_PER_S = 20
REPORTS_PER_S = 4
WINDOW_S = 6 * 3600
FIRST_TOKEN_S = 0.45
BETWEEN_TOKENS_S = 0.032
KEYED_SHARE = 0.05
"""Of all requests; nobody has told us, so it is an assumption."""
OPEN_LINK_US = 600
LINK_BYTES = 15_800
"""Both from docs/design/0004-links.md (tools/bench_idle_links.py)."""
FEW_GATEWAYS = 16
PERCENT = 100
MICROSECONDS = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """A deployment; ``callers`` are those of one gateway in a minute.

    ``batches_s`` is how many batches of claims an appender sends to the log
    for each of ``partitions``. ``endpoints_linked`` are those that one
    gateway has links to, ``gateways_linked`` the gateways that one sidecar
    has links to.
    """

    name: str
    gateways: int
    endpoints: int
    adapters: int
    requests_s: float
    tokens_s: float
    callers: int
    endpoints_linked: int
    gateways_linked: int
    changes_day: int
    replaced_day: int
    partitions: int = 4
    batches_s: int = 50

    @property
    def in_flight(self) -> float:
        """Requests at once, from the letter's times for each token."""
        tokens = self.tokens_s / self.requests_s
        lasts_s = FIRST_TOKEN_S + tokens * BETWEEN_TOKENS_S
        return self.requests_s * lasts_s

    @property
    def claims_s(self) -> float:
        return self.requests_s * KEYED_SHARE

    @property
    def ledgers(self) -> float:
        """The share of all claims that one gateway holds."""
        return 1 if self.gateways < FEW_GATEWAYS else 1 / self.partitions


SIZES = (
    Size('association', 3, 8, 3000, 20, 4860, 100, 8, 3, 100, 10),
    Size('Guindaste', 4, 9, 3000, 20, 4860, 100, 9, 4, 100, 10),
    Size(
        'letter, as built',
        *(1900, 10_000, 15_000, 140_000, 34e6, 1000),
        *(10_000, 1900, 18_000, 1173),
    ),
    Size(
        'letter, subsets',
        *(1900, 10_000, 15_000, 140_000, 34e6, 1000),
        *(128, 24, 18_000, 1173),
        partitions=60,
        batches_s=5,
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One cost of a role: how it is worked out, and what carries it."""

    what: str
    unit: str
    how: str
    work_out: collections.abc.Callable[[Found, Size], float]


def slope(found: Found, name: str) -> float:
    """Return the slope of a figure; KeyError if it was not measured."""
    return found[name].fit.slope


def value(found: Found, name: str) -> float:
    return found[name].value


def _tick_percent(found: Found, size: Size) -> float:
    each_us = slope(found, 'processor.gateway_tick') * size.endpoints_linked
    return each_us * TICKS_PER_S / MICROSECONDS * PERCENT


def _reports_percent(found: Found, size: Size) -> float:
    rate = REPORTS_PER_S * size.endpoints_linked
    each_us = slope(found, 'processor.report')
    return rate * each_us / MICROSECONDS * PERCENT


def _report_bytes_s(found: Found, size: Size) -> float:
    rate = REPORTS_PER_S * size.endpoints_linked
    return rate * value(found, 'wire.report')


def _list_bytes_s(found: Found, size: Size) -> float:
    """A whole list for each change; an instance comes and goes."""
    rows = size.gateways + size.endpoints
    changes_s = 2 * size.replaced_day / DAY_S
    return slope(found, 'wire.instance') * rows * min(1, changes_s)


def _claims_held(size: Size) -> float:
    return size.claims_s * WINDOW_S * size.ledgers


def _claim_log_bytes_s(found: Found, size: Size) -> float:
    return slope(found, 'wire.claim') * size.claims_s * size.ledgers


GATEWAY = (
    Row(
        'adapters',
        'MB',
        '`memory.adapter` x adapters',
        lambda f, s: slope(f, 'memory.adapter') * s.adapters / 1e6,
    ),
    Row(
        'endpoints',
        'MB',
        '`memory.endpoint` x endpoints linked',
        lambda f, s: slope(f, 'memory.endpoint') * s.endpoints_linked / 1e6,
    ),
    Row(
        'links to sidecars',
        'MB',
        '15.8 KB x endpoints linked',
        lambda f, s: LINK_BYTES * s.endpoints_linked / 1e6,
    ),
    Row(
        'callers',
        'MB',
        '`memory.caller` x callers of a minute',
        lambda f, s: slope(f, 'memory.caller') * s.callers / 1e6,
    ),
    Row(
        'requests in flight',
        'MB',
        '`memory.request` x requests / gateways',
        lambda f, s: (
            slope(f, 'memory.request') * s.in_flight / s.gateways / 1e6
        ),
    ),
    Row(
        'claims held',
        'MB',
        '`memory.claim` x 5% keyed x 6 h x share of partitions',
        lambda f, s: slope(f, 'memory.claim') * _claims_held(s) / 1e6,
    ),
    Row(
        'ticks',
        '% of a core',
        '`processor.gateway_tick` x 20/s',
        _tick_percent,
    ),
    Row(
        'reports, busy',
        '% of a core',
        '`processor.report` x 4/s, sockets apart',
        _reports_percent,
    ),
    Row('reports in, busy', 'bytes/s', '`wire.report` x 4/s', _report_bytes_s),
    Row(
        'instance list in',
        'bytes/s',
        '`wire.instance` x rows x changes',
        _list_bytes_s,
    ),
    Row(
        'changes in',
        'bytes/s',
        '`wire.configuration_entry` x 8 neighbours x changes',
        lambda f, s: (
            value(f, 'wire.configuration_entry')
            * min(8, s.gateways - 1)
            * s.changes_day
            / DAY_S
        ),
    ),
    Row(
        'claims read from the log',
        'bytes/s',
        '`wire.claim` x 5% keyed x share of partitions',
        _claim_log_bytes_s,
    ),
    Row(
        'decisions on requests',
        '% of a core',
        'base of `processor.request` x requests / gateways',
        lambda f, s: (
            f['processor.request'].fit.base
            * s.requests_s
            / s.gateways
            / MICROSECONDS
            * PERCENT
        ),
    ),
    Row(
        'to link up anew',
        's of a core',
        '600 us x endpoints linked',
        lambda f, s: OPEN_LINK_US * s.endpoints_linked / MICROSECONDS,
    ),
)

SIDECAR = (
    Row(
        'adapters',
        'MB',
        '`memory.adapter` x adapters',
        lambda f, s: slope(f, 'memory.adapter') * s.adapters / 1e6,
    ),
    Row(
        'links to gateways',
        'MB',
        '15.8 KB x gateways linked',
        lambda f, s: LINK_BYTES * s.gateways_linked / 1e6,
    ),
    Row(
        'attempts',
        'MB',
        '`memory.attempt` x requests in flight / endpoints',
        lambda f, s: (
            slope(f, 'memory.attempt') * s.in_flight / s.endpoints / 1e6
        ),
    ),
    Row(
        'reports, busy',
        '% of a core',
        '`processor.sidecar_report` x gateways linked x 4/s',
        lambda f, s: (
            slope(f, 'processor.sidecar_report')
            * s.gateways_linked
            * REPORTS_PER_S
            / MICROSECONDS
            * PERCENT
        ),
    ),
    Row(
        'reports out, busy',
        'bytes/s',
        '`wire.report` x gateways linked x 4/s',
        lambda f, s: (
            value(f, 'wire.report') * s.gateways_linked * REPORTS_PER_S
        ),
    ),
    Row(
        'changes in',
        'bytes/s',
        '`wire.configuration_entry` x 2 feeders x changes',
        lambda f, s: (
            value(f, 'wire.configuration_entry') * 2 * s.changes_day / DAY_S
        ),
    ),
    Row(
        'decisions on requests',
        '% of a core',
        '`processor.sidecar_request` x requests / endpoints',
        lambda f, s: (
            slope(f, 'processor.sidecar_request')
            * s.requests_s
            / s.endpoints
            / MICROSECONDS
            * PERCENT
        ),
    ),
)

PLATFORM = (
    Row(
        'appends of changes',
        'appends/s',
        'changes a day',
        lambda f, s: s.changes_day / DAY_S,
    ),
    Row(
        'appends of claims, at most',
        'appends/s',
        'batches/s of each partition and appender, or 2 entries a request',
        lambda f, s: min(
            2 * s.claims_s,
            s.batches_s
            * s.partitions
            * (s.gateways if s.gateways < FEW_GATEWAYS else 1),
        ),
    ),
    Row(
        'claims on the log',
        'MB in 6 h',
        '`wire.claim` x 5% keyed',
        lambda f, s: slope(f, 'wire.claim') * s.claims_s * WINDOW_S / 1e6,
    ),
    Row(
        'appends of takeovers',
        'appends/s',
        'replacements a day',
        lambda f, s: s.replaced_day / DAY_S,
    ),
    Row(
        'snapshot of the configuration',
        'KB',
        '`wire.snapshot` x adapters',
        lambda f, s: slope(f, 'wire.snapshot') * s.adapters / 1e3,
    ),
    Row(
        'instance list out, polled each second',
        'MB/s',
        'rows x `wire.instance` x gateways, without entity tags',
        lambda f, s: (
            slope(f, 'wire.instance')
            * (s.gateways + s.endpoints)
            * s.gateways
            / 1e6
        ),
    ),
    Row(
        'instance list out, changes only',
        'MB/s',
        'the same for each change, with entity tags',
        lambda f, s: _list_bytes_s(f, s) * s.gateways / 1e6,
    ),
)
