"""Record values for the instruments and render them for Prometheus."""

import collections
import collections.abc
import logging
import threading
import typing

from berylhollow import logs
from berylhollow.metrics import _instruments

if typing.TYPE_CHECKING:
    from berylhollow.metrics import _sdk

LOG = logging.getLogger(__name__)
CONTENT_TYPE = 'text/plain; version=1.0.0; charset=utf-8'

# More series than the attributes of all instruments give in any reasonable
# deployment. At this limit the cached series are flushed and discarded.
MAX_SERIES = 10_000

MAX_BUFFERED_VALUES = 10_000
"""Histogram values buffered until the metrics libraries are imported: what a
busy gateway records in ten seconds, while the import takes one."""

Attributes = collections.abc.Iterable[tuple[str, str]]
BufferedValues = collections.deque[tuple[str, float, dict[str, str]]]


class Series(typing.Protocol):
    """Values of one instrument with one set of attributes."""

    def add(self, value: float) -> None:
        """Add a value to a sum, or record it in a histogram."""

    def flush(self, sdk: '_sdk.Sdk') -> None:
        """Pass the pending values to the SDK."""


class CounterSeries:
    """Series of a counter, which passes its sum to the SDK on rendering.

    A call into the SDK takes about twenty microseconds and a request would
    make several, but only a rendering reads their result.
    """

    def __init__(self, name: str, attributes: dict[str, str]):
        self.name = name
        self.attributes = attributes
        self.value = 0.0

    def add(self, value: float) -> None:
        self.value += value

    def flush(self, sdk: '_sdk.Sdk') -> None:
        if self.value:
            sdk.recorders[self.name](self.value, self.attributes)
            self.value = 0.0


class HistogramSeries:
    """Series of a histogram, whose every value must reach the SDK."""

    def __init__(
        self, meters: 'Meters', name: str, attributes: dict[str, str]
    ):
        self.meters = meters
        self.name = name
        self.attributes = attributes

    def add(self, value: float) -> None:
        sdk = self.meters.sdk
        if sdk is None:
            self.meters.buffered_values.append(
                (self.name, value, self.attributes)
            )
        else:
            sdk.recorders[self.name](value, self.attributes)

    def flush(self, sdk: '_sdk.Sdk') -> None:
        pass


class Meters:
    """The metrics of one process.

    Importing the metrics libraries takes a sixth of the CPU time of a
    process start, and nothing needs them until the metrics are read. They
    are therefore imported by ``open``, which a service calls in a thread
    once it listens; until then values are buffered.
    """

    def __init__(self, role: str, instance: str, failure_domain: str):
        self.identity = (role, instance, failure_domain)
        self.sdk: _sdk.Sdk | None = None
        self.buffered_values: BufferedValues = collections.deque(
            maxlen=MAX_BUFFERED_VALUES
        )
        self._open_lock = threading.Lock()
        self._registrations: list[tuple] = []
        self._series: dict[tuple, Series] = {}
        self._rejected: set[str] = set()
        self.observe('berylhollow.log_lines_dropped', logs.dropped_line_count)

    def open(self) -> None:
        """Import the metrics libraries and create the instruments, once."""
        with self._open_lock:
            if self.sdk is not None:
                return
            from berylhollow.metrics import _sdk

            sdk = _sdk.Sdk(*self.identity)
            for registration in self._registrations:
                sdk.observe(*registration)
            self.sdk = sdk

    def add(
        self, name: str, value: float = 1, attributes: Attributes = ()
    ) -> None:
        """Add a value to a counter, or record it in a histogram.

        A name or attribute that isn't in the table is logged once and
        counted, not raised: a metric must not break the request it measures.
        Tests detect such names with ``check``.
        """
        key = (name, tuple(attributes))
        series = self._series.get(key)
        if series is None:
            series = self._create_series(name, dict(key[1]))
            if series is None:
                return
            self._series[key] = series
        series.add(value)

    def _create_series(
        self, name: str, attributes: dict[str, str]
    ) -> Series | None:
        """Return a new series, or None if the table does not allow it."""
        try:
            instrument = _instruments.check(name, attributes)
        except ValueError as error:
            self._reject(str(error))
            return None
        if instrument.kind in _instruments.OBSERVED_KINDS:
            self._reject(f'{name} is read by a callback; add() is not allowed')
            return None
        if len(self._series) >= MAX_SERIES:
            self._flush()
            self._series.clear()
        if instrument.kind is _instruments.HISTOGRAM:
            return HistogramSeries(self, name, attributes)
        return CounterSeries(name, attributes)

    def _flush(self) -> '_sdk.Sdk':
        self.open()
        while self.buffered_values:
            name, value, attributes = self.buffered_values.popleft()
            self.sdk.recorders[name](value, attributes)
        for series in self._series.values():
            series.flush(self.sdk)
        return self.sdk

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
        """Register ``read`` as the source of an observed instrument.

        It is called at each rendering. Raises ``ValueError`` for a name or
        attribute that isn't in the table, or isn't observed.
        """
        attributes = dict(attributes)
        instrument = _instruments.check(name, attributes)
        if instrument.kind not in _instruments.OBSERVED_KINDS:
            raise ValueError(
                f'{name} takes values by add(); observe() is not allowed'
            )
        with self._open_lock:
            self._registrations.append((instrument, read, attributes))
            if self.sdk is not None:
                self.sdk.observe(instrument, read, attributes)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._flush().render()
