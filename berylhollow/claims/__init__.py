"""Claims on the log: a non-idempotent request runs at most once."""

from berylhollow.claims._ledger import Holding
from berylhollow.claims._ledger import Ledger
from berylhollow.claims._records import Claim
from berylhollow.claims._records import decode
from berylhollow.claims._records import digest_key
from berylhollow.claims._records import encode
from berylhollow.claims._records import Entry
from berylhollow.claims._records import Outcome
from berylhollow.claims._records import partition_of
from berylhollow.claims._records import RecordError
from berylhollow.claims._records import Settled
from berylhollow.claims._records import StoredAnswer
from berylhollow.claims._records import stream_of
from berylhollow.claims._records import STREAM_PREFIX

__all__ = [
    'STREAM_PREFIX',
    'Claim',
    'Entry',
    'Holding',
    'Ledger',
    'Outcome',
    'RecordError',
    'Settled',
    'StoredAnswer',
    'decode',
    'digest_key',
    'encode',
    'partition_of',
    'stream_of',
]
