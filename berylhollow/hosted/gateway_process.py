"""The gateway process on the users' platform."""

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
from berylhollow import shell
from berylhollow.util import jitter
from berylhollow.util import loop
from berylhollow import workspaces

STOP_NOTICE_MS = 2500
"""Time between reporting not ready and closing. The load balancer checks
readiness once a second and stops sending after two failed checks."""

LINK_RETRY_MS = 150
"""First pause before a link is opened again. After all processes were
replaced, loads wait for the first link to a sidecar, which may start a moment
later than the gateway."""

LINK_RETRY_MAX_MS = 2000
STOP_MARGIN_MS = 700
"""Part of the grace period that is reserved for closing everything before
SIGKILL."""

LAST_ANSWERS_MS = 300
LIST_READS_WHILE_LEAVING = 3
"""Reads of the endpoint list within the time that a leaving endpoint still
serves. If one fails or is late, another still shows the departure. Each read
costs every gateway a call to the store."""

MAX_LIST_INTERVAL_MS = 800
"""Longest interval between reads of the endpoint list, however long a leaving
endpoint still serves. It bounds the time until a new endpoint is found, and
the time after which other gateways, if they hear nothing, read the list
themselves."""

MIN_STALE_LIST_INTERVAL_MS = 200
"""Shortest interval between reads of a stale list, however short the
platform's ``recovery_limit_ms``. Each read costs every gateway a call to the
store."""

DEADLINE_MS = 30_000
"""Deadline of a request that names none; the timeout of its route is
shorter."""

BODY_LIMIT_BYTES = 8 * 1024 * 1024
BODY_BYTES_IN_FLIGHT = 48 * 1024 * 1024
"""Limit on request bodies in flight. A body is held twice, here and in the
connection, and the process has 300 MB of memory."""

MAX_ATTEMPTS = 4
"""Attempts of one request, refused ones included."""

ASSUMED_GATEWAYS = 8
"""Number of gateways assumed to share the retry reserve, as the real one is
unknown."""

KEYS_READY_SHARE = 0.55
"""Share of the key bound after which the gateway is not ready. A new key proof
is requested at two fifths of the bound."""

OUTDATED_READY_SHARE = 0.25
OUTDATED_REFUSE_SHARE = 0.5
"""Shares of the configuration's time limit after which a gateway that knows of
a newer revision and lacks it is not ready, and refuses requests. The limit
counts from the operator's confirmation; the rest covers the time until the
revision is heard of."""

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
                _deployment(node),
            )
        ],
        stop_grace_ms=grace_ms + STOP_MARGIN_MS,
    )


def gateway_settings(node: platform.Node) -> all_settings.GatewaySettings:
    """Return the settings of the gateway on a node."""
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
                'body_bytes_in_flight': BODY_BYTES_IN_FLIGHT,
            },
            'deadline_ms': DEADLINE_MS,
            'body_limit_bytes': BODY_LIMIT_BYTES,
            'stop_notice_ms': STOP_NOTICE_MS,
            'stop_grace_ms': max(1, grace_ms),
            'instance_poll_ms': list_interval_ms(node),
        },
        all_settings.Role.GATEWAY,
    )


def list_interval_ms(node: platform.Node) -> int:
    """Return the interval between reads of the endpoint list."""
    interval_ms = node.endpoint_drain_ms // LIST_READS_WHILE_LEAVING
    return max(1, min(MAX_LIST_INTERVAL_MS, interval_ms))


def stale_list_interval_ms(node: platform.Node) -> int:
    """Return the interval between reads of a stale endpoint list.

    Expired entries are used for ``REMOVAL_HOLD_MS`` after the first read that
    succeeds, and an endpoint that has left must get no more requests
    ``recovery_limit_ms`` after the store is back. Half of the difference may
    pass until the store's return is noticed; the other half is for the read
    itself.
    """
    spare_ms = node.recovery_limit_ms - endpoint_directory.REMOVAL_HOLD_MS
    interval_ms = max(MIN_STALE_LIST_INTERVAL_MS, spare_ms // 2)
    return min(list_interval_ms(node), interval_ms)


def max_ready_key_age_ms(node: platform.Node) -> int:
    """Return the age of the key proof up to which the gateway is ready.

    The load balancer stops sending up to three seconds after that, when the
    proof expires.
    """
    if not node.key_revocation_limit_ms:
        return UNBOUNDED
    return int(node.key_revocation_limit_ms * KEYS_READY_SHARE)


def gateway_state(
    node: platform.Node, settings: all_settings.GatewaySettings
) -> gateway.State:
    """Return the initial state of a gateway's reducer on a node."""
    options = gateway.Options(
        instance=node.instance,
        failure_domain=node.failure_domain,
        region=node.region,
        attempts=MAX_ATTEMPTS,
        instance_poll_ms=settings.instance_poll_ms,
        instance_lost_ms=endpoint_directory.LIST_STALE_MS,
        instance_retry_ms=stale_list_interval_ms(node),
        needs_instances=True,
        retry_share=node.retry_ratio / 2,
        retry_reserve=max(1.0, node.retry_slack / ASSUMED_GATEWAYS / 2),
        requests_in_flight=4096,
        caller_in_flight=settings.limits.caller_in_flight,
        caller_rate_per_s=settings.limits.caller_rate_per_s,
        caller_burst=settings.limits.caller_rate_per_s,
        stop_grace_ms=settings.stop_grace_ms,
        sidecar_port=node.link_port,
        link_retry_ms=LINK_RETRY_MS,
        link_retry_most_ms=LINK_RETRY_MAX_MS,
        lost_retry_free=False,
        budget_by_caller=False,
        policy='quick-reload',
        keys_ready_ms=max_ready_key_age_ms(node),
        outdated_ready_ms=int(
            node.configuration_limit_ms * OUTDATED_READY_SHARE
        ),
        outdated_refuse_ms=int(
            node.configuration_limit_ms * OUTDATED_REFUSE_SHARE
        ),
        version_limit_ms=node.version_limit_ms,
        is_first_start=node.is_first_start,
        quota_tolerance=workspaces.Tolerance(
            node.quota_window_ms / clock.MS_PER_SECOND,
            node.quota_overrun,
            node.quota_slack,
        ),
    )
    follower = routes.RouteFollower(
        platform.CONFIGURATION_STREAM,
        platform.decode_configuration_record,
        node.key_revocation_limit_ms,
    )
    return gateway.State(options, follower)


def endpoint_list(
    node: platform.Node, store: endpoint_directory.Source, time: clock.Clock
) -> endpoint_directory.EndpointDirectory:
    """Return the endpoint directory of a gateway, read from the store."""
    hold_ms = min(
        endpoint_directory.REMOVAL_HOLD_MS,
        max(0, node.recovery_limit_ms - 2 * stale_list_interval_ms(node)),
    )
    return endpoint_directory.EndpointDirectory(
        store,
        platform.INSTANCE_STREAM,
        platform.decode_instance,
        time,
        endpoint_directory.HeldRemovals(hold_ms, node.heartbeat_ms),
    )


def shared_log(
    node: platform.Node, source: shell.KeyedLog, time: clock.Clock
) -> shared_reads.SharedLog:
    """Return the log of a gateway, with its reads of the store shared."""
    return shared_reads.SharedLog(
        source,
        (platform.CONFIGURATION_STREAM, platform.INSTANCE_STREAM),
        node.instance,
        time,
        list_interval_ms(node),
        jitter.fraction(0.0, node.instance),
    )


def _deployment(node: platform.Node) -> gateway_service.Deployment:
    store = shared_log(
        node,
        platform.StoreClient(str(node.store)),
        clock.MonotonicClock(),
    )
    return gateway_service.Deployment(
        log=store,
        shared_log=store,
        instances=endpoint_list(node, store, clock.MonotonicClock()),
        dialect=platform.CallerDialect(),
        endpoint_calls=platform.EndpointClient(outgoing.open_session()),
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
