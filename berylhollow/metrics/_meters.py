"""Take values for the instruments of the table and render them."""

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

# More series than the table's attributes can give in a sane deployment.
MOST_SERIES = 10_000

MOST_EARLY = 10_000
"""Values of histograms kept until the libraries are there: what a busy
gateway measures in ten seconds, and they are there in one."""

Attributes = collections.abc.Iterable[tuple[str, str]]
Early = collections.deque[tuple[str, float, dict[str, str]]]


class Series(typing.Protocol):
    """One instrument with one set of attributes."""

    def add(self, value: float) -> None:
        """Take a value."""

    def flush(self, sdk: '_sdk.Sdk') -> None:
        """Pass on what was not passed on yet."""


class Summed:
    """A counter's series: its sum goes to the SDK only when rendered.

    A call into the SDK costs about twenty microseconds, a request makes
    several of them, and only a rendering reads what they give.
    """

    def __init__(self, name: str, attributes: dict[str, str]):
        self.name = name
        self.attributes = attributes
        self.value = 0.0

    def add(self, value: float) -> None:
        self.value += value

    def flush(self, sdk: '_sdk.Sdk') -> None:
        if self.value:
            sdk.takers[self.name](self.value, self.attributes)
            self.value = 0.0


class Recorded:
    """A histogram's series: each value has to reach the SDK."""

    def __init__(
        self, meters: 'Meters', name: str, attributes: dict[str, str]
    ):
        self.meters = meters
        self.name = name
        self.attributes = attributes

    def add(self, value: float) -> None:
        sdk = self.meters.sdk
        if sdk is None:
            self.meters.early.append((self.name, value, self.attributes))
        else:
            sdk.takers[self.name](value, self.attributes)

    def flush(self, sdk: '_sdk.Sdk') -> None:
        pass


class Meters:
    """The metrics of one process.

    The libraries that keep and render them take a sixth of the processor
    time that a process needs to start, and nothing depends on them until
    somebody reads the metrics. They are imported by ``open``, which a
    service calls in a thread once it listens; until then values are kept.
    """

    def __init__(self, role: str, instance: str, failure_domain: str):
        self.identity = (role, instance, failure_domain)
        self.sdk: _sdk.Sdk | None = None
        self.early: Early = collections.deque(maxlen=MOST_EARLY)
        self._opening = threading.Lock()
        self._observed: list[tuple] = []
        self._series: dict[tuple, Series] = {}
        self._rejected: set[str] = set()
        self.observe('berylhollow.log_lines_dropped', logs.dropped)

    def open(self) -> None:
        """Import the libraries and make the instruments, once."""
        with self._opening:
            if self.sdk is not None:
                return
            from berylhollow.metrics import _sdk

            sdk = _sdk.Sdk(*self.identity)
            for observed in self._observed:
                sdk.observe(*observed)
            self.sdk = sdk

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
            series = self._open_series(name, dict(key[1]))
            if series is None:
                return
            self._series[key] = series
        series.add(value)

    def _open_series(
        self, name: str, attributes: dict[str, str]
    ) -> Series | None:
        """Return the series of a name and its attributes, if in the table."""
        try:
            instrument = _instruments.check(name, attributes)
        except ValueError as error:
            self._reject(str(error))
            return None
        if instrument.kind in _instruments.OBSERVED:
            self._reject(f'{name} is observed, not added to')
            return None
        if len(self._series) >= MOST_SERIES:
            self._flush()
            self._series.clear()
        if instrument.kind is _instruments.HISTOGRAM:
            return Recorded(self, name, attributes)
        return Summed(name, attributes)

    def _flush(self) -> '_sdk.Sdk':
        self.open()
        while self.early:
            name, value, attributes = self.early.popleft()
            self.sdk.takers[name](value, attributes)
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
        """Call ``read`` for the value of an observed instrument.

        It is called at each rendering. Raises ``ValueError`` for a name or
        attribute that isn't in the table, or isn't observed.
        """
        attributes = dict(attributes)
        instrument = _instruments.check(name, attributes)
        if instrument.kind not in _instruments.OBSERVED:
            raise ValueError(f'{name} is added to, not observed')
        with self._opening:
            self._observed.append((instrument, read, attributes))
            if self.sdk is not None:
                self.sdk.observe(instrument, read, attributes)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._flush().render()
