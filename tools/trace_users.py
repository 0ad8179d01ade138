"""The two users' sizes, for traces that are made and not recorded."""

import dataclasses

from tools import local_deployment


@dataclasses.dataclass(frozen=True)
class Span:
    """Whole numbers from ``low`` to ``high``, all alike likely."""

    low: int
    high: int

    def pick(self, random) -> int:
        return random.randint(self.low, self.high)


@dataclasses.dataclass(frozen=True)
class User:
    """Who calls, how much, and how long the calls are.

    Requests to the model service come at ``rate_per_s`` and name adapters
    by a Zipf law with ``exponent``. Each adapter belongs to one caller.
    """

    name: str
    service: str
    plain_service: str
    adapters: int
    callers: int
    rate_per_s: float
    exponent: float
    prompt_tokens: Span
    output_tokens: Span
    deadline_ms: Span
    plain_deadline_ms: int = 3000
    adapter_names: str = 'lora-{:04d}'
    first_adapter: int = 0

    def adapter_name(self, number: int) -> str:
        """Return the name of the adapter of a number from 0."""
        return self.adapter_names.format(self.first_adapter + number)


ASSOCIATION = User(
    name='association',
    service='vaxel-ai',
    plain_service='medlem-register',
    adapters=3000,
    callers=400,
    rate_per_s=10.0,
    exponent=1.4,
    prompt_tokens=Span(40, 200),
    output_tokens=Span(20, 100),
    deadline_ms=Span(5000, 10_000),
)
GUINDASTE = User(
    name='guindaste',
    service='modelos',
    plain_service='balcao',
    adapters=3000,
    callers=48,
    rate_per_s=6.0,
    exponent=1.4,
    prompt_tokens=Span(100, 400),
    output_tokens=Span(60, 200),
    deadline_ms=Span(10_000, 20_000),
)
LOCAL = User(
    name='local',
    service=local_deployment.ENGINE_SERVICE,
    plain_service=local_deployment.PLAIN_SERVICE,
    adapters=local_deployment.ADAPTERS,
    callers=12,
    rate_per_s=6.0,
    exponent=1.4,
    prompt_tokens=Span(40, 200),
    output_tokens=Span(10, 60),
    deadline_ms=Span(5000, 10_000),
    adapter_names='a{:03d}',
    first_adapter=1,
)
"""Fits the deployment of ``make run``."""

USERS = {user.name: user for user in (ASSOCIATION, GUINDASTE)}
