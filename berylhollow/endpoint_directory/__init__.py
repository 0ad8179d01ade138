"""The list of endpoints, kept up to date from a stream of keyed records."""

from berylhollow.endpoint_directory import _directory
from berylhollow.endpoint_directory import _entries
from berylhollow.endpoint_directory import _lapses

EndpointDirectory = _directory.EndpointDirectory
Lapses = _lapses.Lapses
Source = _directory.Source

LOST_MS = _directory.LOST_MS
MOST_MALFORMED = _entries.MOST_MALFORMED
RETURN_MS = _lapses.RETURN_MS
