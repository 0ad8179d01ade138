"""What operators publish, decoded."""

import dataclasses

from berylhollow import messages
from berylhollow.routes import _table


class MalformedRecordError(Exception):
    """A published record that does not have the format agreed on.

    ``key`` is that of the record, empty if that could not be read either.
    """

    def __init__(self, reason: str, key: str = ''):
        super().__init__(reason)
        self.key = key


@dataclasses.dataclass(frozen=True, slots=True)
class NewAdapterVersion:
    """A new version of an adapter is to be served from now on."""

    adapter: messages.AdapterVersion


News = _table.RouteTable | NewAdapterVersion
