"""OpenTelemetry metrics, exported in the Prometheus text format."""

from berylhollow.metrics import _instruments
from berylhollow.metrics import _meters
from berylhollow.metrics import _page

CONTENT_TYPE = _meters.CONTENT_TYPE
INSTRUMENTS = _instruments.INSTRUMENTS
Instrument = _instruments.Instrument
InstrumentKind = _instruments.InstrumentKind
Meters = _meters.Meters

check = _instruments.check
open_in_background = _page.open_in_background
page = _page.page
reference_text = _instruments.reference_text
