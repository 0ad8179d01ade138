"""Take values for the instruments of the table and render them."""

import collections.abc
import logging

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
Attributes = collections.abc.Iterable[tuple[str, str]]


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
        attributes = dict(attributes)
        try:
            _instruments.check(name, attributes)
        except ValueError as error:
            self._reject(str(error))
            return
        taker = self._takers.get(name)
        if taker is None:
            self._reject(f'{name} is observed, not added to')
            return
        taker(value, attributes)

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
        return prometheus_client.generate_latest(self.registry)


def _taker(meter, instrument) -> collections.abc.Callable[..., None]:
    facts = (instrument.name, instrument.unit, instrument.meaning)
    if instrument.kind is _instruments.HISTOGRAM:
        return meter.create_histogram(
            *facts, explicit_bucket_boundaries_advisory=instrument.buckets
        ).record
    return meter.create_counter(*facts).add
