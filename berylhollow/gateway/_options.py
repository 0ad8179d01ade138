"""What the settings decide for a gateway's reducer."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Limits and times of one gateway; durations in milliseconds.

    ``attempts`` bounds the attempts of one request. ``link_retry_ms`` is
    the pause before a refused link is opened again, ``resume_ms`` how long a
    broken link may take to come back before its answers are given up.
    """

    instance: str
    failure_domain: str = 'local'
    region: str = 'local'
    attempts: int = 3
    instance_poll_ms: int = 1000
    link_retry_ms: int = 500
    resume_ms: int = 3000
    stop_grace_ms: int = 600_000
