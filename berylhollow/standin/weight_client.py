"""Client of the platform's weight store, for the stand-in engine."""

import urllib.parse

from berylhollow import messages
from berylhollow import outgoing

LOAD_TIMEOUT_MS = 600_000


class WeightClient:
    """Fetches weights from the platform at ``url``."""

    def __init__(self, url: str):
        self.url = url.rstrip('/')
        self.session = outgoing.open_session()

    async def load(self, adapter: messages.AdapterVersion) -> None:
        """Fetch the weights of an adapter version.

        Raises ``outgoing.CallError`` or a subclass.
        """
        name = urllib.parse.quote(adapter.adapter, safe='')
        version = urllib.parse.quote(adapter.version, safe='')
        await outgoing.call(
            self.session,
            'GET',
            f'{self.url}/weights/{name}/{version}',
            LOAD_TIMEOUT_MS,
        )

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()
