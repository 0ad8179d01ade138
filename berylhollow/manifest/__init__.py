"""The manifest: services, adapters and callers as operators declare them.

The format is published as a JSON Schema in ``schema.json`` in this package.
"""

from berylhollow.manifest import _check
from berylhollow.manifest import _load
from berylhollow.manifest import _types

Adapter = _types.Adapter
Caller = _types.Caller
Entity = _types.Entity
Fault = _types.Fault
Limits = _types.Limits
Manifest = _types.Manifest
ManifestError = _types.ManifestError
Service = _types.Service
ServiceKind = _types.ServiceKind
Version = _types.Version

NAME_LENGTH = _check.NAME_LENGTH
check = _check.check
check_adapter_service = _check.check_adapter_service
check_entity = _check.check_entity
load = _load.load
parse = _load.parse
schema_text = _load.schema_text
