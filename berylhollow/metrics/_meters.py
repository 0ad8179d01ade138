"""Take values for the instruments of the table and render them."""

import collections.abc
import logging
import typing

from opentelemetry.exporter import prometheus
from opentelemetry import metrics as otel_metrics
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources
import prometheus_client

import berylhollow
from berylhollow import logs
from berylhollow.metrics import _instruments

LOG = logging.getLogger(__name__)
CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST

OBSERVED = frozenset(
    {_instruments.OBSERVED_COUNTER, _instruments.OBSERVED_GAUGE}
)
# More series than the table's attributes can give in a sane deployment.
MOST_SERIES = 10_000
Taker = collections.abc.Callable[[float, dict[str, str]], None]
Attributes = collections.abc.Iterable[tuple[str, str]]


class Series(typing.Protocol):
    """One instrument with one set of attributes."""

    def add(self, value: float) -> None:
        """Take a value."""

    def flush(self) -> None:
        """Pass on what was not passed on yet."""


class Summed:
    """A counter's series: its sum goes to the SDK only when rendered.

    A call into the SDK costs about twenty microseconds, a request makes
    several of them, and only a rendering reads what they give.
    """

    def __init__(self, taker: Taker, attributes: dict[str, str]):
        self.taker = taker
        self.attributes = attributes
        self.value = 0.0

    def add(self, value: float) -> None:
        self.value += value

    def flush(self) -> None:
        if self.value:
            self.taker(self.value, self.attributes)
            self.value = 0.0


class Recorded:
    """A histogram's series: each value has to reach the SDK."""

    def __init__(self, taker: Taker, attributes: dict[str, str]):
        self.taker = taker
        self.attributes = attributes

    def add(self, value: float) -> None:
        self.taker(value, self.attributes)

    def flush(self) -> None:
        pass


class Meters:
    """The metrics of one process, kept in a registry of their own."""

    def __init__(self, role: str, instance: str, failure_domain: str):
        self.registry = prometheus_client.CollectorRegistry()
        prometheus_client.ProcessCollector(registry=self.registry)
        prometheus_client.GCCollector(registry=self.registry)
        reader = prometheus.PrometheusMetricReader(
            scope_info_enabled=False, registry=self.registry
        )
        self.provider = sdk_metrics.MeterProvider(
            [reader],
            # Resource.create would search the installed packages for
            # detectors, which is slow and finds nothing of use here.
            resources.Resource(
                {
                    'service.name': f'berylhollow-{role}',
                    'service.version': berylhollow.__version__,
                    'service.instance.id': instance,
                    'berylhollow.failure_domain': failure_domain,
                }
            ),
            exemplar_filter=sdk_metrics.AlwaysOffExemplarFilter(),
            shutdown_on_exit=False,
        )
        self.meter = self.provider.get_meter('berylhollow')
        self._takers = {
            instrument.name: _taker(self.meter, instrument)
            for instrument in _instruments.INSTRUMENTS.values()
            if instrument.kind not in OBSERVED
        }
        self._series: dict[tuple, Series] = {}
        self._rejected: set[str] = set()
        self.observe('berylhollow.log_lines_dropped', logs.dropped)

    def add(
        self, name: str, value: float = 1, attributes: Attributes = ()
    ) -> None:
        """Add a value to a counter, or record it in a histogram.

        A name or attribute that isn't in the table is logged once and
        counted, not raised: a metric must not break the request it measures.
        Tests find such names with ``check``.
        """
        key = (name, tuple(attributes))
        series = self._series.get(key)
        if series is None:
            series = self._open(name, dict(key[1]))
            if series is None:
                return
            self._series[key] = series
        series.add(value)

    def _open(self, name: str, attributes: dict[str, str]) -> Series | None:
        """Return the series of a name and its attributes, if in the table."""
        try:
            instrument = _instruments.check(name, attributes)
        except ValueError as error:
            self._reject(str(error))
            return None
        taker = self._takers.get(name)
        if taker is None:
            self._reject(f'{name} is observed, not added to')
            return None
        if len(self._series) >= MOST_SERIES:
            self._flush()
            self._series.clear()
        if instrument.kind is _instruments.HISTOGRAM:
            return Recorded(taker, attributes)
        return Summed(taker, attributes)

    def _flush(self) -> None:
        for series in self._series.values():
            series.flush()

    def _reject(self, problem: str) -> None:
        self.add('berylhollow.metrics_rejected')
        if problem not in self._rejected:
            self._rejected.add(problem)
            LOG.error('metric rejected: %s', problem)

    def observe(
        self,
        name: str,
        read: collections.abc.Callable[[], float],
        attributes: Attributes = (),
    ) -> None:
        """Call ``read`` for the value of an observed instrument.

        It is called at each rendering. Raises ``ValueError`` for a name or
        attribute that isn't in the table, or isn't observed.
        """
        attributes = dict(attributes)
        instrument = _instruments.check(name, attributes)
        if instrument.kind not in OBSERVED:
            raise ValueError(f'{name} is added to, not observed')

        def callback(_options):
            return [otel_metrics.Observation(read(), attributes)]

        create = (
            self.meter.create_observable_counter
            if instrument.kind is _instruments.OBSERVED_COUNTER
            else self.meter.create_observable_gauge
        )
        create(name, [callback], instrument.unit, instrument.meaning)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self._flush()
        return prometheus_client.generate_latest(self.registry)


def _taker(meter, instrument) -> collections.abc.Callable[..., None]:
    facts = (instrument.name, instrument.unit, instrument.meaning)
    if instrument.kind is _instruments.HISTOGRAM:
        return meter.create_histogram(
            *facts, explicit_bucket_boundaries_advisory=instrument.buckets
        ).record
    return meter.create_counter(*facts).add
