"""The list of models, in the form of the usual model APIs."""

import asyncio
import json

from berylhollow import configuration
from berylhollow import errors
from berylhollow import manifest

PATH = '/v1/models'
SLICE = 200
"""Adapters that are listed without a pause, about a millisecond's work."""


class Models:
    """The servable adapter versions as callers name them.

    The list of thousands of versions is made once for each revision that a
    caller asks for.
    """

    def __init__(self):
        self.revision = -1
        self.body = b''

    async def list(self, current: configuration.Configuration | None) -> bytes:
        """Return the JSON of all; CONFIGURATION_UNAVAILABLE if unknown."""
        current = _known(current)
        if self.revision == current.revision:
            return self.body
        parts = []
        for number, adapter in enumerate(current.adapters.values(), 1):
            parts += _versions(adapter)
            if number % SLICE == 0:
                # The whole list takes long enough to hold up every stream.
                await asyncio.sleep(0)
        listed = ', '.join(sorted(parts))
        self.body = f'{{"object": "list", "data": [{listed}]}}'.encode()
        self.revision = current.revision
        return self.body

    def one(
        self, current: configuration.Configuration | None, name: str
    ) -> bytes:
        """Return the JSON of one; NOT_FOUND if it is not servable."""
        current = _known(current)
        adapter, _, version = name.rpartition('@')
        declared = current.adapter(adapter)
        if declared is not None:
            for each in declared.versions:
                if each.servable and each.version == version:
                    return _model(declared, version).encode()
        raise errors.BerylhollowError(errors.Kind.NOT_FOUND)


def _known(
    current: configuration.Configuration | None,
) -> configuration.Configuration:
    if current is None:
        raise errors.BerylhollowError(errors.Kind.CONFIGURATION_UNAVAILABLE)
    return current


def _versions(adapter: manifest.Adapter) -> list[str]:
    return [
        _model(adapter, version.version)
        for version in adapter.versions
        if version.servable
    ]


def _model(adapter: manifest.Adapter, version: str) -> str:
    return json.dumps(
        {
            'id': f'{adapter.name}@{version}',
            'object': 'model',
            'created': 0,
            'owned_by': adapter.service,
        }
    )
