"""The configuration in force, computed from the platform's log.

Which changes are accepted depends only on the records in the log. Every
process and every software version that supports the acceptance rule of a
change therefore reaches the same result.
"""

from berylhollow.configuration import _changes
from berylhollow.configuration import _codec
from berylhollow.configuration import _configuration
from berylhollow.configuration import _entity_codec
from berylhollow.configuration import _fold
from berylhollow.configuration import _follower
from berylhollow.configuration import _hash_assignment
from berylhollow.configuration import _history
from berylhollow.configuration import _log_reader
from berylhollow.configuration import _propagation

STREAM = _log_reader.STREAM
SNAPSHOT_STREAM = _log_reader.SNAPSHOT_STREAM

MAX_PUSH_BYTES = _propagation.MAX_PUSH_BYTES
READERS_PER_DOMAIN = _follower.READERS_PER_DOMAIN
RULE = _codec.RULE
Accepted = _fold.Accepted
Change = _changes.Change
Configuration = _configuration.Configuration
Delta = _changes.Delta
EntityKind = _changes.EntityKind
KINDS = _changes.KINDS
Follower = _follower.Follower
History = _history.History
LogReader = _log_reader.LogReader
MalformedRecord = _entity_codec.MalformedRecord
Outcome = _fold.Outcome
Put = _changes.Put
Remove = _changes.Remove
Ring = _hash_assignment.Ring
State = _fold.State
UnknownRule = _codec.UnknownRule
Verdict = _fold.Verdict

EMPTY = _configuration.EMPTY
INITIAL = _fold.INITIAL

apply = _changes.apply
decode_change = _codec.decode_change
difference = _changes.difference
encode_change = _codec.encode_change
fold = _fold.fold
from_snapshot = _fold.from_snapshot
from_manifest = _configuration.from_manifest
