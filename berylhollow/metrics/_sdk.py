"""The libraries that keep and render metrics, imported only when needed."""

import collections.abc
import typing

from opentelemetry.exporter import prometheus
from opentelemetry import metrics as otel_metrics
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources
import prometheus_client

import berylhollow
from berylhollow.metrics import _instruments

Taker = collections.abc.Callable[[float, dict[str, str]], None]


class Sdk:
    """The instruments of one process, in a registry of their own."""

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
        self.takers: dict[str, Taker] = {
            instrument.name: _taker(self.meter, instrument)
            for instrument in _instruments.INSTRUMENTS.values()
            if instrument.kind not in _instruments.OBSERVED
        }

    def observe(
        self,
        instrument: _instruments.Instrument,
        read: collections.abc.Callable[[], float],
        attributes: dict[str, str],
    ) -> None:
        """Call ``read`` for a value at each rendering."""

        def callback(_options: typing.Any) -> list:
            return [otel_metrics.Observation(read(), attributes)]

        create = (
            self.meter.create_observable_counter
            if instrument.kind is _instruments.OBSERVED_COUNTER
            else self.meter.create_observable_gauge
        )
        create(
            instrument.name, [callback], instrument.unit, instrument.meaning
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)


def _taker(meter, instrument: _instruments.Instrument) -> Taker:
    facts = (instrument.name, instrument.unit, instrument.meaning)
    if instrument.kind is _instruments.HISTOGRAM:
        return meter.create_histogram(
            *facts, explicit_bucket_boundaries_advisory=instrument.buckets
        ).record
    return meter.create_counter(*facts).add
