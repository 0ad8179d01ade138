"""A crowd whose endpoints read prompts at different paces.

Prompts come in groups of three with the sizes counted on the users' heavy
days, before 21 gateways. The reports of the sidecars get the pace and the
share of reading from the model of the endpoint.
"""

import collections
import dataclasses
import statistics

from berylhollow import messages
from test.hosted import crowd

TOKEN_MS = 0.045
MEAN_TOKENS = 2370
MIN_TOKENS = 200
MAX_TOKENS = 6870
GROUP = 3
SHARE_MS = 2000
"""Time over which the share of reading is taken."""

WINDOW_MS = 500
MIN_WINDOW_COUNT = 5
"""Prompts in a window from which on the share of an endpoint is taken."""


@dataclasses.dataclass(frozen=True)
class Paces:
    """How many times the usual time each endpoint takes to read a prompt.

    Without ``reported`` sidecars say nothing of it, as older ones do.
    """

    factors: tuple[float, ...] = (1.0, 1.0, 1.7)
    reported: bool = True


class PacedCrowd(crowd.Crowd):
    """One run of a load at endpoints of different paces."""

    def __init__(self, load, paces=Paces(), **sidecar_options):
        self.paces = paces
        self.reads = collections.defaultdict(collections.deque)
        self.offered = collections.Counter()
        self.sent = collections.defaultdict(collections.Counter)
        super().__init__(load, **sidecar_options)

    def token_ms(self, name):
        return TOKEN_MS * self.paces.factors[int(name.split('-')[1])]

    def arrivals(self):
        for at_ms, name in super().arrivals():
            for _ in range(GROUP):
                yield at_ms, name

    def tokens(self):
        size = self.chance.lognormvariate(0, 0.6) * MEAN_TOKENS / 1.2
        return int(min(max(size, MIN_TOKENS), MAX_TOKENS))

    def request(self, request_id, adapter):
        return dataclasses.replace(
            super().request(request_id, adapter), prompt_tokens=self.tokens()
        )

    def read_ms(self, endpoint, begins_ms, offer):
        """Return the time to read a prompt and count it."""
        read_ms = offer.prompt_tokens * self.token_ms(endpoint.name)
        self.reads[endpoint.name].append((begins_ms, begins_ms + read_ms))
        self.offered[endpoint.name] += 1
        self.sent[int(self.now_ms // WINDOW_MS)][endpoint.name] += 1
        return read_ms

    def carry_out_sidecar(self, peer, effect):
        message = getattr(effect, 'message', None)
        if isinstance(message, messages.Report) and self.paces.reported:
            name = self.beside[peer].name
            paced = dataclasses.replace(
                message,
                token_ms=self.token_ms(name),
                read_share=self.read_share(name),
            )
            effect = dataclasses.replace(effect, message=paced)
        super().carry_out_sidecar(peer, effect)

    def share_of(self, name):
        """Return an endpoint's share of all prompts."""
        return self.offered[name] / self.offered.total()

    @property
    def busiest_share(self):
        """The mean share that one endpoint gets within half a second."""
        return statistics.mean(
            max(counts.values()) / counts.total()
            for counts in self.sent.values()
            if counts.total() >= MIN_WINDOW_COUNT
        )

    def read_share(self, name):
        """Return the share of the last two seconds spent reading."""
        since_ms = self.now_ms - SHARE_MS
        reads = self.reads[name]
        while reads and reads[0][1] <= since_ms:
            reads.popleft()
        spent_ms = sum(
            max(0.0, min(end, self.now_ms) - max(begin, since_ms))
            for begin, end in reads
        )
        return spent_ms / SHARE_MS
