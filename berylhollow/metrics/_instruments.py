"""Table of all instruments; a new metric needs one entry here.

Names follow OpenTelemetry's semantic conventions, with the prefix
``berylhollow.`` for the project's own. No attribute may name an adapter, a
caller or a request: with 15,000 adapters, one series for each would not fit
in a node's 64 MB.
"""

import collections.abc
import dataclasses
import enum


class InstrumentKind(enum.StrEnum):
    """How the values of an instrument are aggregated."""

    COUNTER = 'counter'
    HISTOGRAM = 'histogram'
    OBSERVED_COUNTER = 'observed counter'
    OBSERVED_GAUGE = 'observed gauge'


@dataclasses.dataclass(frozen=True)
class Instrument:
    """One metric: name, unit (UCUM), meaning and the attributes allowed.

    ``buckets`` are the upper bounds of a histogram, in its unit.
    """

    name: str
    kind: InstrumentKind
    unit: str
    meaning: str
    attributes: tuple[str, ...] = ()
    buckets: tuple[float, ...] = ()


COUNTER = InstrumentKind.COUNTER
HISTOGRAM = InstrumentKind.HISTOGRAM
OBSERVED_COUNTER = InstrumentKind.OBSERVED_COUNTER
OBSERVED_GAUGE = InstrumentKind.OBSERVED_GAUGE
OBSERVED_KINDS = frozenset({OBSERVED_COUNTER, OBSERVED_GAUGE})

SERVICE = 'berylhollow.service'
ERROR = 'error.type'
RAN = 'berylhollow.ran'

# Closely spaced around the objectives: 0.45 s to the first token and 32 ms
# between tokens.
DURATION_BUCKETS_S = (
    *(0.005, 0.01, 0.02, 0.032, 0.05, 0.1, 0.2, 0.3, 0.45, 0.6),
    *(1.0, 2.0, 5.0, 10.0, 30.0, 60.0),
)
BATCH_SIZE_BUCKETS = (1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0)

_TABLE = (
    Instrument(
        'http.server.request.duration',
        HISTOGRAM,
        's',
        'From the arrival of a request to the last byte of its answer.',
        ('http.request.method', 'http.response.status_code', SERVICE, ERROR),
        DURATION_BUCKETS_S,
    ),
    Instrument(
        'http.server.active_requests',
        OBSERVED_GAUGE,
        '{request}',
        'Requests of callers being served.',
    ),
    Instrument(
        'berylhollow.first_token.duration',
        HISTOGRAM,
        's',
        'From the arrival of a request to the first byte of its answer body.',
        (SERVICE,),
        DURATION_BUCKETS_S,
    ),
    Instrument(
        'berylhollow.revision',
        OBSERVED_GAUGE,
        '{revision}',
        'Revision of the configuration in force, 0 before there is one.',
    ),
    Instrument(
        'berylhollow.late_frames',
        COUNTER,
        '{frame}',
        'Frames that a gateway dropped because their attempt is over.',
    ),
    Instrument(
        'berylhollow.attempts',
        COUNTER,
        '{attempt}',
        'Attempts that a gateway offered to an endpoint, first ones and '
        'retries.',
        (SERVICE, 'berylhollow.retry'),
    ),
    Instrument(
        'berylhollow.admissions',
        COUNTER,
        '{request}',
        'Admissions of prompts at their endpoints: granted, refused as too '
        'late, or why a request was sent without.',
        (SERVICE, 'berylhollow.outcome'),
    ),
    Instrument(
        'berylhollow.endpoint_notices',
        COUNTER,
        '{notice}',
        'Changes in what endpoints say of themselves in their answers, by '
        'what they say.',
        (SERVICE, 'berylhollow.notice'),
    ),
    Instrument(
        'berylhollow.unframed_answers',
        COUNTER,
        '{answer}',
        'Answers with neither a length nor chunks that have ended, by what '
        'shows, or fails to show, that their endpoint has outlived them.',
        (SERVICE, 'berylhollow.evidence'),
    ),
    Instrument(
        'berylhollow.errors',
        COUNTER,
        '{request}',
        'Requests that a gateway answered with an error, by its kind and '
        'whether they ran.',
        (SERVICE, ERROR, RAN),
    ),
    Instrument(
        'berylhollow.attempts.failed',
        COUNTER,
        '{attempt}',
        'Attempts that a sidecar refused or saw fail, by kind and whether '
        'they ran.',
        (SERVICE, ERROR, RAN),
    ),
    Instrument(
        'berylhollow.load_stall.duration',
        HISTOGRAM,
        's',
        'Time that an attempt waited for its adapter to be loaded, taken '
        'when it begins to run.',
        (SERVICE,),
        DURATION_BUCKETS_S,
    ),
    Instrument(
        'berylhollow.loads',
        COUNTER,
        '{load}',
        'Answers to orders to load an adapter, by outcome.',
        (SERVICE, 'berylhollow.outcome'),
    ),
    Instrument(
        'berylhollow.batch_size',
        HISTOGRAM,
        '{attempt}',
        'Attempts running on the endpoint, taken when one begins to run.',
        (SERVICE,),
        BATCH_SIZE_BUCKETS,
    ),
    Instrument(
        'berylhollow.running',
        OBSERVED_GAUGE,
        '{attempt}',
        'Attempts running on the endpoint.',
        (SERVICE,),
    ),
    Instrument(
        'berylhollow.queue_length',
        OBSERVED_GAUGE,
        '{attempt}',
        'Attempts that wait for the endpoint.',
        (SERVICE,),
    ),
    Instrument(
        'berylhollow.sidecar.offers.doubled',
        COUNTER,
        '{attempt}',
        'Offers of an attempt that the sidecar already had; ignored.',
    ),
    Instrument(
        'berylhollow.admissions',
        COUNTER,
        '{request}',
        'Decisions of a sidecar to admit requests to its endpoint, by '
        'outcome.',
        (SERVICE, 'berylhollow.outcome'),
    ),
    Instrument(
        'berylhollow.resumptions',
        COUNTER,
        '{request}',
        'Streams that callers wanted to take up again: how the software '
        'version that began them was known, or why they were refused.',
        (SERVICE, 'berylhollow.outcome'),
    ),
    Instrument(
        'berylhollow.request_exceptions',
        COUNTER,
        '{exception}',
        'Exceptions in the handling of one request; each is a bug, and its '
        'traceback is in the log.',
    ),
    Instrument(
        'berylhollow.admissions_waiting',
        OBSERVED_GAUGE,
        '{request}',
        'Requests that wait for their admission at the endpoint.',
        (SERVICE,),
    ),
    Instrument(
        'berylhollow.configuration.age',
        OBSERVED_GAUGE,
        'ms',
        'How long ago the log is known to have held no newer change; -1 if '
        'that was never known.',
    ),
    Instrument(
        'berylhollow.configuration.lag',
        HISTOGRAM,
        's',
        'From when another gateway was heard to have a newer revision until '
        'it is in force here; 0 if none was heard of.',
        buckets=DURATION_BUCKETS_S,
    ),
    Instrument(
        'berylhollow.keys.age',
        OBSERVED_GAUGE,
        'ms',
        'How long ago the read began that last showed which keys are in '
        'force.',
    ),
    Instrument(
        'berylhollow.instance_list.age',
        OBSERVED_GAUGE,
        'ms',
        'How long ago the list of instances came that requests are sent by; '
        '-1 before there is one.',
    ),
    Instrument(
        'berylhollow.log_lines_dropped',
        OBSERVED_COUNTER,
        '{line}',
        'Log lines dropped because the reader of stderr has stalled.',
    ),
    Instrument(
        'berylhollow.metrics_rejected',
        COUNTER,
        '{value}',
        'Values for a metric or attribute that is not in this table.',
    ),
)

INSTRUMENTS: dict[str, Instrument] = {
    instrument.name: instrument for instrument in _TABLE
}


def check(
    name: str, attributes: collections.abc.Iterable[str] = ()
) -> Instrument:
    """Return the instrument; raise ``ValueError`` if it isn't in the table."""
    instrument = INSTRUMENTS.get(name)
    if instrument is None:
        raise ValueError(f'{name} is not in the table of instruments')
    for attribute in attributes:
        if attribute not in instrument.attributes:
            raise ValueError(f'{name} has no attribute {attribute}')
    return instrument


def reference_text() -> str:
    """Return the reference page of metrics in Markdown."""
    lines = [
        '# Metrics',
        '',
        'Each process gives these out on `/metrics` of its HTTP listener, in',
        'the Prometheus text format: dots become underscores, and the unit',
        'and `_total` of a counter are appended. Attributes become labels.',
        'No label names an adapter, a caller or a request. Beside these stand',
        "the Python client's `process_` and `python_gc_` series. Generated",
        'by `make generate`.',
        '',
        '| name | kind | unit | meaning | attributes |',
        '|---|---|---|---|---|',
    ]
    for instrument in _TABLE:
        attributes = ', '.join(f'`{name}`' for name in instrument.attributes)
        lines.append(
            f'| `{instrument.name}` | {instrument.kind} '
            f'| `{instrument.unit}` | {instrument.meaning} | {attributes} |'
        )
    return '\n'.join(lines) + '\n'
