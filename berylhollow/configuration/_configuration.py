"""The configuration of one revision, as immutable maps."""

import dataclasses

import immutables

from berylhollow import errors
from berylhollow import events
from berylhollow import following
from berylhollow import manifest
from berylhollow import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """The services, adapters and callers declared at a revision.

    It is immutable. The maps are persistent: the next revision shares all
    unchanged entries with it. ``revision`` is the offset after the accepted
    record, 0 before the first.
    """

    revision: int
    services: immutables.Map[str, manifest.Service]
    adapters: immutables.Map[str, manifest.Adapter]
    callers: immutables.Map[str, manifest.Caller]

    @property
    def has_workspaces(self) -> bool:
        """Return False, as a manifest declares no workspaces."""
        return False

    @property
    def declared_workspaces(self) -> tuple[()]:
        """Return an empty tuple, as a manifest declares no workspaces."""
        return ()

    def workspace(self, head: events.RequestHead) -> None:
        """Return None, as no request belongs to a workspace."""

    def service(self, name: str) -> manifest.Service | None:
        """Return a service, None if it is not declared."""
        return self.services.get(name)

    def adapter(self, name: str) -> manifest.Adapter | None:
        """Return an adapter, None if it is not declared."""
        return self.adapters.get(name)

    def caller(self, name: str) -> manifest.Caller:
        """Return a caller, with default values if it is not declared."""
        return self.callers.get(name) or manifest.Caller(name)

    def service_of(self, adapter: str) -> str:
        """Return the service of an adapter, '' if it is not declared."""
        declared = self.adapters.get(adapter)
        return '' if declared is None else declared.service

    def servable(self, wanted: messages.AdapterVersion) -> bool:
        """Return whether a version is declared and marked as servable."""
        declared = self.adapters.get(wanted.adapter)
        return declared is not None and any(
            version.servable and version.version == wanted.version
            for version in declared.versions
        )

    def resolve(
        self, request: events.Request, seed: float
    ) -> following.Terms | errors.Kind:
        """Return the terms of a request, or the error that rejects it."""
        kind = self.request_error(request.service, request.adapter)
        if kind is not None:
            return kind
        service = request.service
        if request.adapter is not None:
            service = self.service_of(request.adapter.adapter)
        return following.Terms(
            service, request.adapter, request.deadline_ms, request.priority
        )

    def candidate_versions(
        self, adapter: messages.AdapterVersion
    ) -> tuple[messages.AdapterVersion, ...]:
        """Return the versions that may serve a request: only the named one."""
        return (adapter,)

    def superseded_ms(
        self, adapter: messages.AdapterVersion, at_ms: int
    ) -> int | None:
        """Return None: requests name the version that they want."""
        return None

    def adapter_slots(self, service: str) -> int:
        """Return 0, as sidecars learn the number from their engines."""
        return 0

    def adapter_room(self, service: str, models: tuple[str, ...]) -> int:
        """Return 0, as sidecars learn the number from their engines."""
        return 0

    @property
    def header_bytes(self) -> int:
        return following.DEFAULT_HEADER_BYTES

    def can_hold(self, service: str, adapter: messages.AdapterVersion) -> bool:
        """Return False, as only sidecars know what their engines hold."""
        return False

    def admission(self, service: str) -> following.AdmissionTerms | None:
        """Return None, as engines behind a sidecar's link need none."""
        return None

    def check_path(self, service: str) -> str:
        """Return the default: the manifest names none."""
        return following.DEFAULT_CHECK_PATH

    def models(self, service: str) -> tuple[str, ...]:
        """Return an empty tuple, as engines start with their model."""
        return ()

    def request_error(
        self, service: str, adapter: messages.AdapterVersion | None
    ) -> errors.Kind | None:
        """Return the error that rejects a request, None if it is allowed.

        ``service`` may be empty if an adapter is named, as the adapter
        determines its service. A request to an engine service must name an
        adapter: its body could name one that was never checked.
        """
        if adapter is None:
            return self.request_error_without_adapter(service)
        declared = self.adapters.get(adapter.adapter)
        if declared is None:
            return errors.Kind.UNKNOWN_ADAPTER
        if service and service != declared.service:
            return errors.Kind.UNKNOWN_ADAPTER
        if not self.servable(adapter):
            return errors.Kind.UNKNOWN_VERSION
        return None

    def request_error_without_adapter(
        self, service: str
    ) -> errors.Kind | None:
        """Return the error that rejects a request without an adapter."""
        declared = self.services.get(service)
        if declared is None:
            return errors.Kind.UNKNOWN_SERVICE
        if declared.kind is manifest.ServiceKind.ENGINE:
            return errors.Kind.UNKNOWN_ADAPTER
        return None

    def manifest(self) -> manifest.Manifest:
        """Return the manifest, each section sorted by name."""
        return manifest.Manifest(
            _sorted(self.services),
            _sorted(self.adapters),
            _sorted(self.callers),
        )


def from_manifest(
    declared: manifest.Manifest, revision: int = 0
) -> Configuration:
    """Return the configuration that a valid manifest declares."""
    return Configuration(
        revision,
        _by_name(declared.services),
        _by_name(declared.adapters),
        _by_name(declared.callers),
    )


def _sorted(entities: immutables.Map) -> tuple:
    return tuple(entities[name] for name in sorted(entities))


def _by_name(entities: tuple) -> immutables.Map:
    return immutables.Map({entity.name: entity for entity in entities})


EMPTY = from_manifest(manifest.Manifest())
