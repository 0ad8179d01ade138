"""Exceptions that the models raise."""


class StandInError(Exception):
    """Base class of the models' failures; ``code`` is sent to clients."""

    code = 'failed'


class Unavailable(StandInError):
    """The system is down; nothing was done."""

    code = 'unavailable'


class RateLimited(StandInError):
    """The rate limit is exceeded; nothing was done."""

    code = 'rate_limited'


class AnswerLost(StandInError):
    """The action took effect, but its response is lost."""

    code = 'answer_lost'


class OffsetGone(StandInError):
    """The offset was retired; ``first_offset`` is the first one kept."""

    code = 'offset_gone'

    def __init__(self, first_offset: int):
        super().__init__(f'the first offset kept is {first_offset}')
        self.first_offset = first_offset


class UnknownAdapter(StandInError):
    """The weight store holds no such adapter."""

    code = 'unknown_adapter'


class StaleFence(StandInError):
    """The order carries a lower fencing number than one seen before."""

    code = 'stale_fence'


class WrongEpoch(StandInError):
    """The order or request is for another epoch of the engine."""

    code = 'wrong_epoch'


class UnknownSlot(StandInError):
    """The engine has no such slot."""

    code = 'unknown_slot'


class AdapterNotLoaded(StandInError):
    """No ready slot holds the adapter; the request did not run."""

    code = 'adapter_not_loaded'
