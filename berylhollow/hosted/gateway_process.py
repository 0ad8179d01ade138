"""A gateway on the users' platform."""

from berylhollow import clock
from berylhollow import endpoint_directory
from berylhollow import gateway
from berylhollow.gateway import service as gateway_service
from berylhollow.hosted import _links
from berylhollow import outgoing
from berylhollow import platform
from berylhollow import routes
from berylhollow import settings as all_settings
from berylhollow import shared_reads
from berylhollow.util import loop
from berylhollow.util import spread
from berylhollow import workspaces

STOP_NOTICE_MS = 2500
"""The balancer asks once a second and stops sending after two refusals."""

LINK_RETRY_MS = 150
"""Pause before a link is opened again. After all processes were replaced,
loads wait for the first link to a sidecar that may start a moment later."""

LINK_RETRY_MOST_MS = 2000
STOP_MARGIN_MS = 700
"""Left of the grace period to close everything before SIGKILL."""

LAST_ANSWERS_MS = 300
LISTS_BEFORE_LEAVING = 3
"""Reads of the list of endpoints in the time that a leaving endpoint still
serves. One that fails or is late leaves another to tell of it; each costs
every gateway a call to the store."""

LONGEST_LIST_MS = 800
"""However long a leaving endpoint still serves, a new one should be found,
and the others should hear that nothing is new before they read themselves."""

LEAST_LOST_PAUSE_MS = 200
"""Between two reads of a list that is lost, however soon the platform wants
every promise to hold again: each costs every gateway a call to the store."""

DEADLINE_MS = 30_000
"""Of a request that names none; its route's timeout is shorter."""

BODY_BYTES = 8 * 1024 * 1024
BODIES_BYTES = 48 * 1024 * 1024
"""Of 300 MB: a request body is held once here and once in the connection."""

ATTEMPTS = 4
"""Offers of one request, refused ones among them."""

MOST_GATEWAYS = 8
"""Gateways that share the retry reserve while their number is not known."""

KEYS_READY_SHARE = 0.55
"""Of the bound on keys; a new proof is looked for at two fifths of it."""

UNBOUNDED = 1_000_000


def serve(node: platform.Node) -> int:
    """Run a gateway until it is told to stop; return its exit code."""
    settings = gateway_settings(node)
    grace_ms = settings.stop_notice_ms + settings.stop_grace_ms
    return loop.run(
        lambda lifetime: [
            gateway_service.GatewayService(
                settings,
                lifetime,
                gateway_state(node, settings),
                _surroundings(node),
            )
        ],
        stop_grace_ms=grace_ms + STOP_MARGIN_MS,
    )


def gateway_settings(node: platform.Node) -> all_settings.GatewaySettings:
    """Return the settings of the gateway itself on a node."""
    grace_ms = node.stop_grace_ms - STOP_NOTICE_MS - STOP_MARGIN_MS
    return all_settings.parse(
        {
            'instance': node.instance,
            'failure_domain': node.failure_domain,
            'region': node.region,
            'link_key': _links.LINK_KEY,
            'platform': {'url': f'http://{node.store}'},
            'listen': {
                'host': node.callers.host,
                'port': node.callers.port,
                'connections': 3000,
            },
            'peers': {'host': node.host, 'port': node.link_port},
            'limits': {
                'caller_in_flight': 100_000,
                'caller_rate_per_s': UNBOUNDED,
                'body_bytes_in_flight': BODIES_BYTES,
            },
            'deadline_ms': DEADLINE_MS,
            'body_limit_bytes': BODY_BYTES,
            'stop_notice_ms': STOP_NOTICE_MS,
            'stop_grace_ms': max(1, grace_ms),
            'instance_poll_ms': list_pause_ms(node),
        },
        all_settings.Role.GATEWAY,
    )


def list_pause_ms(node: platform.Node) -> int:
    """Return the pause between two reads of the list of endpoints."""
    pause_ms = node.leave_ms // LISTS_BEFORE_LEAVING
    return max(1, min(LONGEST_LIST_MS, pause_ms))


def lost_list_pause_ms(node: platform.Node) -> int:
    """Return the pause between two reads of a list that is lost.

    Entries that lapsed are used for ``RETURN_MS`` from the first read that
    succeeds, and ``contact_ms`` after the store is back an endpoint that left
    must get nothing more. Half of what lies between may pass until the store's
    return is noticed; the other half is for the read itself.
    """
    spare_ms = node.contact_ms - endpoint_directory.RETURN_MS
    pause_ms = max(LEAST_LOST_PAUSE_MS, spare_ms // 2)
    return min(list_pause_ms(node), pause_ms)


def keys_ready_ms(node: platform.Node) -> int:
    """Return how old a proof of the keys may be while we are ready.

    The balancer stops sending up to three seconds after that, as the proof
    ends.
    """
    if not node.key_bound_ms:
        return UNBOUNDED
    return int(node.key_bound_ms * KEYS_READY_SHARE)


def gateway_state(
    node: platform.Node, settings: all_settings.GatewaySettings
) -> gateway.State:
    """Return the first state of a gateway's reducer on a node."""
    options = gateway.Options(
        instance=node.instance,
        failure_domain=node.failure_domain,
        region=node.region,
        attempts=ATTEMPTS,
        instance_poll_ms=settings.instance_poll_ms,
        instance_lost_ms=endpoint_directory.LOST_MS,
        instance_retry_ms=lost_list_pause_ms(node),
        needs_instances=True,
        retry_share=node.retry_ratio / 2,
        retry_reserve=max(1.0, node.retry_slack / MOST_GATEWAYS / 2),
        requests_in_flight=4096,
        caller_in_flight=settings.limits.caller_in_flight,
        caller_rate_per_s=settings.limits.caller_rate_per_s,
        caller_burst=settings.limits.caller_rate_per_s,
        stop_grace_ms=settings.stop_grace_ms,
        sidecar_port=node.link_port,
        link_retry_ms=LINK_RETRY_MS,
        link_retry_most_ms=LINK_RETRY_MOST_MS,
        lost_retry_free=False,
        budget_by_caller=False,
        policy='quick-reload',
        keys_ready_ms=keys_ready_ms(node),
        quota_tolerance=workspaces.Tolerance(
            node.quota_window_ms / clock.MS_PER_SECOND,
            node.quota_overrun,
            node.quota_slack,
        ),
    )
    follower = routes.RouteFollower(
        platform.CONFIGURATION_STREAM, platform.decode_news, node.key_bound_ms
    )
    return gateway.State(options, follower)


def endpoint_list(
    node: platform.Node, store: endpoint_directory.Source, time: clock.Clock
) -> endpoint_directory.EndpointDirectory:
    """Return the list of endpoints as a gateway follows it in the store."""
    return_ms = min(
        endpoint_directory.RETURN_MS,
        max(0, node.contact_ms - 2 * lost_list_pause_ms(node)),
    )
    return endpoint_directory.EndpointDirectory(
        store,
        platform.INSTANCE_STREAM,
        platform.decode_instance,
        time,
        endpoint_directory.Lapses(return_ms, node.heartbeat_ms),
    )


def _surroundings(node: platform.Node) -> gateway_service.Surroundings:
    store = shared_reads.SharedLog(
        platform.StoreClient(str(node.store)),
        (platform.CONFIGURATION_STREAM, platform.INSTANCE_STREAM),
        node.instance,
        clock.MonotonicClock(),
        list_pause_ms(node),
        spread.fraction(0.0, node.instance),
    )
    return gateway_service.Surroundings(
        log=store,
        shared_log=store,
        instances=endpoint_list(node, store, clock.MonotonicClock()),
        dialect=platform.CallerDialect(),
        endpoint_calls=platform.EndpointCalls(outgoing.open_session()),
        readiness=gateway_service.PageListener(
            node.readiness.host,
            node.readiness.port,
            platform.READINESS_PATH,
        ),
        metrics=gateway_service.PageListener(
            node.host, node.metrics_port, '/metrics'
        ),
        link_options=_links.LINK_OPTIONS,
        last_answers_ms=LAST_ANSWERS_MS,
    )
