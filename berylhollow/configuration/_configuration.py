"""One accepted revision, with fast look-ups and cheap successors."""

import dataclasses

import immutables

from berylhollow import errors
from berylhollow import events
from berylhollow import following
from berylhollow import manifest
from berylhollow import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """What is declared at a revision; it never changes.

    The maps are persistent: a successor shares with it all that stays the
    same. ``revision`` is the offset after the record that was accepted, 0
    before any.
    """

    revision: int
    services: immutables.Map[str, manifest.Service]
    adapters: immutables.Map[str, manifest.Adapter]
    callers: immutables.Map[str, manifest.Caller]

    @property
    def has_workspaces(self) -> bool:
        """Return False: a manifest declares none."""
        return False

    @property
    def declared_workspaces(self) -> tuple[()]:
        """Return none: a manifest declares none."""
        return ()

    def workspace(self, head: events.RequestHead) -> None:
        """Return None: no request is a workspace's."""

    def service(self, name: str) -> manifest.Service | None:
        """Return a declared service, None if there is none."""
        return self.services.get(name)

    def adapter(self, name: str) -> manifest.Adapter | None:
        """Return a declared adapter, None if there is none."""
        return self.adapters.get(name)

    def caller(self, name: str) -> manifest.Caller:
        """Return a caller; one that is not declared has the defaults."""
        return self.callers.get(name) or manifest.Caller(name)

    def service_of(self, adapter: str) -> str:
        """Return the service of a declared adapter, '' if it is not."""
        declared = self.adapters.get(adapter)
        return '' if declared is None else declared.service

    def servable(self, wanted: messages.AdapterVersion) -> bool:
        """Return whether this version is declared and to be served."""
        declared = self.adapters.get(wanted.adapter)
        return declared is not None and any(
            version.servable and version.version == wanted.version
            for version in declared.versions
        )

    def resolve(
        self, request: events.Request, seed: float
    ) -> following.Terms | errors.Kind:
        """Return how to serve a request, or why it can't be served."""
        kind = self.refuse(request.service, request.adapter)
        if kind is not None:
            return kind
        service = request.service
        if request.adapter is not None:
            service = self.service_of(request.adapter.adapter)
        return following.Terms(
            service, request.adapter, request.deadline_ms, request.priority
        )

    def acceptable(
        self, adapter: messages.AdapterVersion, at_ms: int
    ) -> tuple[messages.AdapterVersion, ...]:
        """Return the one version that a request named."""
        return (adapter,)

    def adapter_slots(self, service: str) -> int:
        """Return 0: sidecars know from their engines."""
        return 0

    def models(self, service: str) -> tuple[str, ...]:
        """Return none: engines have their model from their start."""
        return ()

    def refuse(
        self, service: str, adapter: messages.AdapterVersion | None
    ) -> errors.Kind | None:
        """Return why this can't be served, None if it can.

        An adapter's service is known, so ``service`` may be empty when one
        is named. An engine service is not run without naming an adapter:
        the body could name one that was never checked.
        """
        if adapter is None:
            return self.refuse_plain(service)
        declared = self.adapters.get(adapter.adapter)
        if declared is None:
            return errors.Kind.UNKNOWN_ADAPTER
        if service and service != declared.service:
            return errors.Kind.UNKNOWN_ADAPTER
        if not self.servable(adapter):
            return errors.Kind.UNKNOWN_VERSION
        return None

    def refuse_plain(self, service: str) -> errors.Kind | None:
        """Return why a request without an adapter can't be served."""
        declared = self.services.get(service)
        if declared is None:
            return errors.Kind.UNKNOWN_SERVICE
        if declared.kind is manifest.ServiceKind.ENGINE:
            return errors.Kind.UNKNOWN_ADAPTER
        return None

    def manifest(self) -> manifest.Manifest:
        """Return what is declared, each section sorted by name."""
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
