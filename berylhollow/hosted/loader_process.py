"""The sidecar process of a direct endpoint on the users' platform."""

from berylhollow.hosted import _links
from berylhollow import loader
from berylhollow.loader import service as loader_service
from berylhollow import metrics
from berylhollow import platform
from berylhollow import settings as all_settings
from berylhollow.util import addresses
from berylhollow.util import loop


def serve(node: platform.Node) -> int:
    """Run a loader until it is told to stop; return its exit code."""
    return loop.run(
        lambda lifetime: [_loader_service(node, lifetime)],
        stop_grace_ms=node.stop_grace_ms,
    )


def _loader_service(
    node: platform.Node, lifetime: loop.Lifetime
) -> loader_service.LoaderService:
    meters = metrics.Meters(
        all_settings.Role.SIDECAR, node.instance, node.failure_domain
    )
    options = loader.Options(
        instance=node.instance,
        service=node.service,
        failure_domain=node.failure_domain,
    )
    shell = loader_service.Shell(
        loader.State(options),
        identity=addresses.sidecar_peer(str(node.endpoint)),
        listen=(node.host, node.link_port),
        key=_links.LINK_KEY.encode(),
        control=platform.EndpointControlClient(str(node.endpoint)),
        count=meters.add,
        link_options=_links.LINK_OPTIONS,
    )
    return loader_service.LoaderService(
        shell, meters, (node.host, node.metrics_port), lifetime
    )
