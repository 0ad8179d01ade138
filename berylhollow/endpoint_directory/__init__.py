"""The endpoint list, kept up to date from a stream of keyed records."""

from berylhollow.endpoint_directory import _directory
from berylhollow.endpoint_directory import _entries
from berylhollow.endpoint_directory import _held_removals

EndpointDirectory = _directory.EndpointDirectory
HeldRemovals = _held_removals.HeldRemovals
Source = _directory.Source

LIST_STALE_MS = _directory.LIST_STALE_MS
MAX_MALFORMED_NAMES = _entries.MAX_MALFORMED_NAMES
REMOVAL_HOLD_MS = _held_removals.REMOVAL_HOLD_MS
