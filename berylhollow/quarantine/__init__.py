"""Quarantine of requests that crash endpoints: log records and suspects."""

from berylhollow.quarantine._handover import kept_crashes
from berylhollow.quarantine._handover import MAX_SENT_RUNS
from berylhollow.quarantine._handover import take_over
from berylhollow.quarantine._handover import Taken
from berylhollow.quarantine._keys import is_part
from berylhollow.quarantine._keys import keys
from berylhollow.quarantine._keys import part_key
from berylhollow.quarantine._records import Crash
from berylhollow.quarantine._records import decode
from berylhollow.quarantine._records import encode
from berylhollow.quarantine._records import ended_epoch
from berylhollow.quarantine._records import Lift
from berylhollow.quarantine._records import Record
from berylhollow.quarantine._records import RecordError
from berylhollow.quarantine._records import reported_crash_id
from berylhollow.quarantine._records import STREAM
from berylhollow.quarantine._suspects import Rules
from berylhollow.quarantine._suspects import Suspects
from berylhollow.quarantine._unsettled import UnsettledLoss
from berylhollow.quarantine._unsettled import UnsettledLosses

__all__ = [
    'MAX_SENT_RUNS',
    'STREAM',
    'Crash',
    'Lift',
    'Record',
    'RecordError',
    'Rules',
    'Suspects',
    'Taken',
    'UnsettledLoss',
    'UnsettledLosses',
    'decode',
    'encode',
    'ended_epoch',
    'is_part',
    'kept_crashes',
    'keys',
    'part_key',
    'reported_crash_id',
    'take_over',
]
