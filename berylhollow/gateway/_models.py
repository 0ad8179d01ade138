"""The list of models, in the format of the common model APIs."""

import asyncio
import json

from berylhollow import configuration
from berylhollow import errors
from berylhollow import manifest

PATH = '/v1/models'
ADAPTERS_PER_SLICE = 200
"""Adapters listed between yields to the event loop, about 1 ms of work."""


class ModelList:
    """The servable adapter versions, under the names that callers use.

    The list of thousands of versions is built once per revision, when a
    caller asks for it, and cached.
    """

    def __init__(self):
        self.revision = -1
        self.body = b''

    async def list(self, current: configuration.Configuration | None) -> bytes:
        """Return all as JSON; CONFIGURATION_UNAVAILABLE without one."""
        current = _require_configuration(current)
        if self.revision == current.revision:
            return self.body
        entries = []
        for number, adapter in enumerate(current.adapters.values(), 1):
            entries += _servable_entries(adapter)
            if number % ADAPTERS_PER_SLICE == 0:
                # Building the whole list at once would delay all streams.
                await asyncio.sleep(0)
        joined_entries = ', '.join(sorted(entries))
        self.body = (
            f'{{"object": "list", "data": [{joined_entries}]}}'.encode()
        )
        self.revision = current.revision
        return self.body

    def get_version(
        self, current: configuration.Configuration | None, name: str
    ) -> bytes:
        """Return one version as JSON; NOT_FOUND if it is not servable."""
        current = _require_configuration(current)
        adapter, _, version = name.rpartition('@')
        declared = current.adapter(adapter)
        if declared is not None:
            for candidate in declared.versions:
                if candidate.servable and candidate.version == version:
                    return _model_entry(declared, version).encode()
        raise errors.BerylhollowError(errors.Kind.NOT_FOUND)


def _require_configuration(
    current: configuration.Configuration | None,
) -> configuration.Configuration:
    if current is None:
        raise errors.BerylhollowError(errors.Kind.CONFIGURATION_UNAVAILABLE)
    return current


def _servable_entries(adapter: manifest.Adapter) -> list[str]:
    return [
        _model_entry(adapter, version.version)
        for version in adapter.versions
        if version.servable
    ]


def _model_entry(adapter: manifest.Adapter, version: str) -> str:
    return json.dumps(
        {
            'id': f'{adapter.name}@{version}',
            'object': 'model',
            'created': 0,
            'owned_by': adapter.service,
        }
    )
