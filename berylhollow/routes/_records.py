"""Decoded records that operators publish."""

import dataclasses

from berylhollow import messages
from berylhollow.routes import _table


class MalformedRecordError(Exception):
    """Raised for a published record that is not in the agreed format.

    ``key`` is the key of the record, empty if it could not be read either.
    """

    def __init__(self, reason: str, key: str = ''):
        super().__init__(reason)
        self.key = key


@dataclasses.dataclass(frozen=True, slots=True)
class NewAdapterVersion:
    """Announces a version of an adapter that is to be served from now on."""

    adapter: messages.AdapterVersion


PublishedRecord = _table.RouteTable | NewAdapterVersion
