"""The log client of a test: the stand-in's model without HTTP."""

from berylhollow import clock as clocks
from berylhollow import log_service
from berylhollow import outgoing
from berylhollow.standin import failures
from berylhollow.standin import faults
from berylhollow.standin import log as log_model

Fault = faults.PlatformFault
SPARE_APPENDS = 10_000


class ModelLog:
    """A ``log_service.LogClient`` on a model, whose clock each call moves.

    ``before_append`` is called before each append, to let others come first;
    reads fail while ``read_fails`` says so.
    """

    def __init__(self, retention_ms=log_model.HOUR_MS):
        self.clock = clocks.VirtualClock()
        limits = log_model.LogLimits(
            burst=SPARE_APPENDS, retention_ms=retention_ms
        )
        self.model = log_model.LogModel(limits)
        self.before_append = lambda: None
        self.read_fails = lambda: False

    def put(self, stream, *records):
        """Append records as others would, also just before an outage."""
        now_ms = self.clock.now_ms()
        for data in records:
            self.model.retained(stream, now_ms).append(data, now_ms)

    def start_fault(self, fault, for_ms):
        self.model.faults.start(fault, self.clock.now_ms(), for_ms)

    async def sleep(self, duration_ms):
        self.clock.advance(duration_ms)

    async def append(self, stream, data):
        self.before_append()
        self.clock.advance(1)
        try:
            return self.model.append(stream, data, self.clock.now_ms())
        except failures.AnswerLost as error:
            raise outgoing.CallOutcomeUnknown('no answer') from error
        except failures.StandInError as error:
            raise outgoing.CallRefused('unavailable', 503) from error

    async def read(self, stream, from_offset, limit=1000, wait_ms=0):
        self.clock.advance(1)
        if self.read_fails():
            raise outgoing.CallOutcomeUnknown('no answer')
        try:
            return self.model.read(
                stream, from_offset, limit, self.clock.now_ms()
            )
        except failures.OffsetGone as error:
            detail = {'first_offset': error.first_offset}
            raise log_service.OffsetGone(
                outgoing.CallRefused('offset_gone', 410, detail)
            ) from error
        except failures.StandInError as error:
            raise outgoing.CallRefused('unavailable', 503) from error
