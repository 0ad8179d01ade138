"""The OpenTelemetry and Prometheus libraries, imported only when needed."""

import collections.abc
import typing

from opentelemetry.exporter import prometheus
from opentelemetry import metrics as otel_metrics
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources
import prometheus_client

import berylhollow
from berylhollow.metrics import _instruments

Recorder = collections.abc.Callable[[float, dict[str, str]], None]


class Sdk:
    """The instruments of one process, in their own Prometheus registry."""

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
        self.recorders: dict[str, Recorder] = {
            instrument.name: _create_recorder(self.meter, instrument)
            for instrument in _instruments.INSTRUMENTS.values()
            if instrument.kind not in _instruments.OBSERVED_KINDS
        }

    def observe(
        self,
        instrument: _instruments.Instrument,
        read: collections.abc.Callable[[], float],
        attributes: dict[str, str],
    ) -> None:
        """Create an instrument that calls ``read`` at each rendering."""

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


def _create_recorder(meter, instrument: _instruments.Instrument) -> Recorder:
    arguments = (instrument.name, instrument.unit, instrument.meaning)
    if instrument.kind is _instruments.HISTOGRAM:
        return meter.create_histogram(
            *arguments,
            explicit_bucket_boundaries_advisory=instrument.buckets,
        ).record
    return meter.create_counter(*arguments).add
