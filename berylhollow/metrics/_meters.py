"""Take values for the instruments of the table and render them."""

import collections.abc
import logging
import typing

from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources
import prometheus_client

import berylhollow
from berylhollow.metrics import _instruments

LOG = logging.getLogger(__name__)
CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST

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
        meter = self.provider.get_meter('berylhollow')
        self._takers = {
            instrument.name: _taker(meter, instrument)
            for instrument in _instruments.INSTRUMENTS.values()
        }
        self._rejected: set[str] = set()

    def add(
        self, name: str, value: float = 1, attributes: Attributes = ()
    ) -> None:
        """Take a value: add to a counter, record in a histogram, set a gauge.

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
        self._takers[name](value, attributes)

    def _reject(self, problem: str) -> None:
        self._takers['berylhollow.metrics_rejected'](1)
        if problem not in self._rejected:
            self._rejected.add(problem)
            LOG.error('metric rejected: %s', problem)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)


def _taker(meter, instrument) -> collections.abc.Callable[..., None]:
    kinds = _instruments.InstrumentKind
    create: dict[kinds, typing.Any] = {
        kinds.COUNTER: meter.create_counter,
        kinds.UP_DOWN_COUNTER: meter.create_up_down_counter,
        kinds.HISTOGRAM: meter.create_histogram,
        kinds.GAUGE: meter.create_gauge,
    }
    options = {}
    if instrument.buckets:
        options['explicit_bucket_boundaries_advisory'] = instrument.buckets
    made = create[instrument.kind](
        instrument.name, instrument.unit, instrument.meaning, **options
    )
    if instrument.kind is kinds.HISTOGRAM:
        return made.record
    if instrument.kind is kinds.GAUGE:
        return made.set
    return made.add
