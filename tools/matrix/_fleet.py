"""The fleet of a scene: its sizes, and all times made shorter to match.

Times keep the order that the shipped ones have, so that what is longer than
what stays so.
"""

import contextlib
from unittest import mock

from berylhollow import configuration
from berylhollow.configuration import _follower
from berylhollow.configuration import _history
from berylhollow.configuration import _log_reader
from berylhollow.configuration import _propagation
from berylhollow.configuration import _snapshot_writer
from berylhollow import events
from berylhollow import gateway
from berylhollow import manifest
from berylhollow import replay
from berylhollow import sidecar
from berylhollow.standin import engine_types
from berylhollow.standin import log
from berylhollow.standin import weights

MODEL_SERVICE = 'modelos'
PLAIN_SERVICE = 'balcao'
ENGINES = ('e1', 'e2')
SERVICES = ('p1', 'p2')
GATEWAYS = ('g1', 'g2')
WORK_MS = 40
LINK_RETRY_MS = 100
LINK_RETRY_MOST_MS = 1600
"""Sixteen times the shortest, as in the shipped settings."""
LINK_RECOVERY_MS = 3 * LINK_RETRY_MOST_MS // 2
"""The longest pause before a link that was refused often is tried again:
half as much again as its back-off, as gateways spread their tries."""

LATENCIES = replay.Latencies(tick_ms=100, silence_ms=2000, handshake_ms=500)
ENGINE = engine_types.EngineLimits(
    slot_count=2,
    batch_limit=4,
    step_ms=10,
    status_lag_ms=100,
    restart_ms=600,
)
WEIGHTS = weights.WeightLimits(loads_per_s=10, burst=5, full_speed_ms=150)
LOG = log.LogLimits(slow_ms=700)
SCALED = (
    (_follower, 'GATEWAY_NEWS_TIMEOUT_MS', 1200),
    (_follower, 'GATEWAY_JITTER_MS', 400),
    (_follower, 'SIDECAR_NEWS_TIMEOUT_MS', 2000),
    (_follower, 'SIDECAR_JITTER_MS', 1000),
    (_follower, 'SIDECAR_START_TIMEOUT_MS', 300),
    (_follower, 'IDLE_PAUSE_MS', 1500),
    (_follower, 'MAX_FRESH_AGE_MS', 2000),
    (_follower, 'PEER_REPORT_TIMEOUT_MS', 200),
    (_follower, 'MISSING_ENTRIES_TIMEOUT_MS', 800),
    (_history, 'MAX_RECENT_ENTRIES', 2),
    (_log_reader, 'LONG_POLL_MS', 400),
    (_log_reader, 'READ_TIMEOUT_MS', 1500),
    (_log_reader, 'MAX_RETRY_PAUSE_MS', 400),
    (_snapshot_writer, 'FIRST_SNAPSHOT_DELAY_MS', 300),
    (_snapshot_writer, 'INTERVAL_MS', 600),
    (_snapshot_writer, 'RETRY_MS', 200),
    (_propagation, 'REQUEST_PAUSE_MS', 100),
    (_propagation, 'GATEWAY_REPORT_INTERVAL_MS', 200),
    (_propagation, 'SIDECAR_REPORT_INTERVAL_MS', 500),
    (_propagation, 'SILENCE_TIMEOUT_MS', 600),
    (_propagation, 'SNAPSHOT_PAUSE_MS', 200),
)


@contextlib.contextmanager
def scaled():
    """Run with the short times of the configuration's machines."""
    with contextlib.ExitStack() as changes:
        for module, name, value in SCALED:
            changes.enter_context(mock.patch.object(module, name, value))
        yield


def adapter(name: str) -> manifest.Adapter:
    """Return an adapter with its first version."""
    return manifest.Adapter(
        name, MODEL_SERVICE, versions=(manifest.Version('1'),)
    )


MANIFEST = manifest.Manifest(
    services=(
        manifest.Service(
            MODEL_SERVICE, base_model='base', checks_fencing=True
        ),
        manifest.Service(PLAIN_SERVICE, manifest.ServiceKind.PLAIN),
    ),
    adapters=tuple(
        adapter(f'{letter}{number}')
        for letter in 'ab'
        for number in range(1, 9)
    ),
)


def first_change() -> bytes:
    """Return the record by which the log begins."""
    change = configuration.Change(0, 'setup', 'setup', (), MANIFEST)
    return configuration.encode_change(change)


def sidecar_maker(name: str, service: str = MODEL_SERVICE, **options):
    """Return what makes a fresh state of a sidecar."""
    chosen = sidecar.Options(
        instance=name,
        service=service,
        status_poll_ms=200,
        report_ms=200,
        load_timeout_ms=800,
        load_backoff_ms=100,
        takeover_retry_ms=200,
        takeover_timeout_ms=1500,
        settle_ms=3000,
        ended_retention_ms=1500,
        isolation_gap_ms=200,
        **options,
    )

    def make() -> sidecar.State:
        follower = configuration.Follower(name, events.Role.ENDPOINT)
        return sidecar.State(options=chosen, follower=follower)

    return make


def gateway_maker(name: str, **options):
    """Return what makes a fresh state of a gateway."""
    chosen = gateway.Options(
        instance=name,
        instance_poll_ms=200,
        link_retry_ms=LINK_RETRY_MS,
        link_retry_most_ms=LINK_RETRY_MOST_MS,
        resume_ms=1000,
        not_run_ms=700,
        claim_ms=1000,
        claim_retry_ms=150,
        quarantine_poll_ms=500,
        eject_ms=500,
        retry_share=0.5,
        load_interval_ms=150,
        **options,
    )

    def make() -> gateway.State:
        follower = configuration.Follower(name, events.Role.GATEWAY)
        return gateway.State(options=chosen, follower=follower)

    return make
