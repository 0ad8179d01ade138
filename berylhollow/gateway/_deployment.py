"""The services and wire formats that a deployment gives a gateway."""

import dataclasses

from berylhollow.gateway import _dialect
from berylhollow import link
from berylhollow import platform
from berylhollow import settings as all_settings
from berylhollow import shared_reads
from berylhollow import shell


@dataclasses.dataclass(frozen=True, slots=True)
class PageListener:
    """The address and path of a page that has its own listener."""

    host: str
    port: int
    path: str


@dataclasses.dataclass(frozen=True)
class Deployment:
    """The services and wire formats of one deployment.

    ``shared_log`` is ``log`` where gateways share their reads of it.
    ``endpoint_calls`` is None where every endpoint gets its requests through
    its sidecar. ``readiness`` and ``metrics`` are separate listeners, for
    deployments whose callers' listener can't serve these pages.
    ``last_answers_ms`` is how long the last answers of a stopping gateway
    may take to be written.
    """

    log: shell.Log
    instances: shell.InstanceList
    dialect: _dialect.Dialect
    shared_log: shared_reads.SharedLog | None = None
    endpoint_calls: platform.EndpointClient | None = None
    readiness: PageListener | None = None
    metrics: PageListener | None = None
    link_options: link.Options | None = None
    last_answers_ms: int = 5000


def default_deployment(settings: all_settings.GatewaySettings) -> Deployment:
    """Return the project's own services and wire format."""
    log, instances = shell.log_service_clients(settings.platform.url)
    return Deployment(log, instances, _dialect.NativeDialect())
