"""How much one gateway may let through of a quota shared by all gateways.

Every gateway fills a token bucket at the whole rate of the quota and deducts
what all gateways have spent, as added up by a book (see ``_book``). While
demand is below the rate, a gateway takes what it needs; above it, the gateway
takes the share of its own callers. Updates from a book arrive with a delay.
What was overspent meanwhile is deducted from the bucket afterwards, so that
errors do not accumulate.
"""

import dataclasses
import math

from berylhollow import clock
from berylhollow.workspaces import _book
from berylhollow.workspaces import _types

STALE_MS = 900
"""Age at which the last update of a book is ignored. Guards against gateways
that are cut off while demand exceeds the rate: what they spend from then on is
not in the totals, and the others spend it a second time."""

MAX_DEBT_S = 8
"""Longest time, in seconds of the rate, for which nothing is let through
after overspending."""

CONTENTION_FACTOR = 1.5
"""How many times the rate the demand must be for the quota to count as
contended. Below that, errors between two updates are small, and the demand
for a few requests a second is not known more exactly."""

LEVEL_SHARE = 1 / 16
"""Share of the bucket's level that one gateway takes between two updates.
Other gateways may see the same level at the same time."""

BURST_SHARE = 0.25
"""Share of the tolerated excess that is used for bursts. A workspace that is
below its rate on average has a few large requests at once now and then."""

ERROR_SHARE = 0.7
"""Share of the tolerated excess that is used for what gateways spend at the
same time without knowing of each other."""

DEMAND_JUMP_FACTOR = 12
"""How many times the requests expected between two updates may arrive when
demand jumps, each at another gateway."""

SUDDEN_ASKER_SHARE = 1 / 3
"""Share of all gateways that may get a request at the same time when there
was no demand before."""

ATTEMPT_FACTOR = 2.0
"""How often a gateway tries to take a request from the whole bucket, as a
multiple of the served share of demand. If too many gateways do so at once, all
wait until the excess is made up for."""

RETRY_MS = 200
"""When to come back if a request was refused only by chance."""

EXPECTED_UPDATE_MS = 200
"""Longest expected time between two updates while there is demand and nothing
is wrong."""

DEMAND_HALF_LIFE_MS = 1000.0
"""Half-life of the demand estimate."""

NO_BOOK_SHARE = 0.05
"""Share of the rate that all gateways without a book may use together, since
gateways that do have one go on using the whole rate."""

MIN_GATEWAYS = 32
"""Lower bound for the number of gateways, which may not be known."""

MIN_REFILL_SHARE = 0.25
"""Lower bound for the refill rate of a refused caller, as a share of the
quota's rate. Refused callers spend nothing, so that at least this much becomes
available to whoever waits."""

MAX_WAIT_MS = 30_000


@dataclasses.dataclass(slots=True)
class _Account:
    """The last totals of one book, and the bucket level that follows."""

    book: str
    totals: _book.UsageTotals
    level: float
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Demand:
    """The demand of all callers, as this gateway sees it.

    ``total_per_s`` is the demand per second over all gateways,
    ``is_contended`` tells whether it clearly exceeds the quota,
    ``served_share`` is the part of it that the quota allows and ``own_share``
    the part of it that arrives here. ``others_rate`` is what the other
    gateways are expected to spend, ``own_rate`` what remains of the quota's
    rate. ``askers`` is the number of gateways with any demand.
    """

    total_per_s: float
    is_contended: bool
    served_share: float
    own_share: float
    others_rate: float
    own_rate: float
    askers: int


class Allowance:
    """One workspace's quota at one gateway; does no I/O.

    ``gateways`` is the number of gateways, as far as is known. ``spent`` is
    all that was spent here, less what was given back. ``accounts`` holds the
    state of each book by its peer. ``random_draw`` is a random number in
    [0, 1) that is renewed with each update of a book.
    """

    def __init__(
        self,
        quota: _types.Quota,
        at_ms: int,
        tolerance: _types.Tolerance | None = None,
    ):
        self.quota = quota
        self.tolerance = tolerance or _types.Tolerance()
        self.gateways = 1
        self.spent = 0
        self.accounts: dict[str, _Account] = {}
        self.random_draw = 0.0
        self.demand_rate = 0.0
        self.demand_ms = at_ms
        self.no_book_level = 0.0
        self.no_book_ms = at_ms

    @property
    def capacity(self) -> float:
        """The capacity of the bucket."""
        tolerated = self.tolerance.allowed_excess(self.quota)
        return self.quota.capacity + BURST_SHARE * tolerated

    def set_quota(self, quota: _types.Quota) -> None:
        """Set a changed quota; cut debt under the old one to one second."""
        if quota == self.quota:
            return
        self.quota = quota
        for account in self.accounts.values():
            lowest = -quota.rate_per_s
            account.level = max(lowest, min(account.level, self.capacity))

    def record_demand(self, cost: int, at_ms: int) -> None:
        """Count a request as demand, whether it is let through or not."""
        self.demand_rate = self._decayed_demand(at_ms)
        per_s = clock.MS_PER_SECOND / DEMAND_HALF_LIFE_MS
        self.demand_rate += cost * math.log(2) * per_s
        self.demand_ms = at_ms

    def wait_ms(self, cost: int, at_ms: int) -> int:
        """Return how long to wait before spending ``cost``, 0 if not at all.

        A request that fits this gateway's part of the bucket is let through.
        One that fits only the whole bucket is let through by chance, since
        other gateways may take from it at the same time.
        """
        need = min(cost, self.capacity)
        fresh = self._fresh_accounts(at_ms)
        if not fresh:
            self._refill_without_book(need, at_ms)
            return _wait_ms(need - self.no_book_level, self._no_book_rate())
        self.no_book_ms = at_ms
        self.no_book_level = 0.0
        demand = self._estimate_demand(fresh, at_ms)
        room = min(self._own_room(a, demand, at_ms) for a in fresh)
        if room >= need:
            return 0
        whole = min(self._whole_room(a, demand, at_ms) for a in fresh)
        unreported = max(map(self._unreported, fresh))
        if whole < need or unreported > 0:
            min_rate = MIN_REFILL_SHARE * self.quota.rate_per_s
            rate = max(demand.own_rate, min_rate)
            return _wait_ms(need - min(room, whole), rate)
        if self.random_draw < self._probability(cost, whole, demand):
            return 0
        return RETRY_MS

    def spend(self, cost: int, at_ms: int) -> None:
        """Count the cost of a request that is sent on."""
        if not self._fresh_accounts(at_ms):
            self._refill_without_book(cost, at_ms)
            self.no_book_level -= cost
        self.spent += cost

    def refund(self, cost: int) -> None:
        """Refund the cost of a request that provably did not run."""
        self.spent -= cost
        self.no_book_level += cost

    def current_usage(self, workspace: str, at_ms: int) -> _book.GatewayUsage:
        """Return the usage to report to books."""
        return _book.GatewayUsage(
            workspace, self.spent, int(self._decayed_demand(at_ms))
        )

    def update_totals(
        self,
        peer: str,
        book: str,
        totals: _book.UsageTotals,
        random_draw: float,
        at_ms: int,
    ) -> None:
        """Take the totals of a book; ``random_draw`` is new, in [0, 1)."""
        account = self.accounts.get(peer)
        if account is None or account.book != book:
            level = self._initial_level(at_ms)
        else:
            level = self._refilled_level(account, at_ms)
            level -= totals.spent - account.totals.spent
            level = max(level, -MAX_DEBT_S * self.quota.rate_per_s)
        self.accounts[peer] = _Account(book, totals, level, at_ms)
        self.random_draw = random_draw

    def remove_stale_accounts(self, at_ms: int) -> None:
        """Remove the accounts of books that no longer send updates."""
        self.accounts = {
            peer: account
            for peer, account in self.accounts.items()
            if at_ms - account.at_ms < STALE_MS
        }

    def _fresh_accounts(self, at_ms: int) -> list[_Account]:
        return [
            account
            for account in self.accounts.values()
            if at_ms - account.at_ms < STALE_MS
        ]

    def _estimate_demand(self, fresh: list[_Account], at_ms: int) -> _Demand:
        own = self._decayed_demand(at_ms)
        others = max(
            a.totals.asked_per_s - a.totals.own_asked_per_s for a in fresh
        )
        own_share = own / (own + others) if own + others > 0 else 1.0
        rate = self.quota.rate_per_s
        is_contended = own + others > CONTENTION_FACTOR * rate
        spent_by_others = min(others, rate * (1.0 - own_share))
        if not is_contended:
            spent_by_others = min(others, rate)
        return _Demand(
            own + others,
            is_contended,
            min(1.0, rate / max(1.0, own + others)),
            own_share,
            spent_by_others,
            rate - spent_by_others,
            max(1, *(a.totals.askers for a in fresh)),
        )

    def _own_room(
        self, account: _Account, demand: _Demand, at_ms: int
    ) -> float:
        """Return what this gateway may take by itself until the next update.

        Other gateways may see the same level, so each takes only a share.
        """
        share = LEVEL_SHARE
        if demand.is_contended:
            share = min(share, demand.own_share)
        gained = self._own_gain(account, demand, at_ms)
        if account.level > 0:
            room = max(account.level * share, gained)
        else:
            room = account.level + gained
        return room - self._unreported(account)

    def _whole_room(
        self, account: _Account, demand: _Demand, at_ms: int
    ) -> float:
        """Return what is left of the bucket if no other gateway takes any."""
        level = account.level + self._own_gain(account, demand, at_ms)
        return min(self.capacity, level) - self._unreported(account)

    def _own_gain(
        self, account: _Account, demand: _Demand, at_ms: int
    ) -> float:
        """Return what this gateway's rate has added since the last update.

        It stops growing when the next update is overdue. Guards against
        gateways that are cut off as demand rises, each of which would go on
        as if it were alone.
        """
        elapsed_ms = min(at_ms - account.at_ms, EXPECTED_UPDATE_MS)
        return demand.own_rate * elapsed_ms / clock.MS_PER_SECOND

    def _unreported(self, account: _Account) -> int:
        """Return what was spent here and is not in a book's totals yet."""
        return self.spent - account.totals.own_spent

    def _probability(self, cost: int, whole: float, demand: _Demand) -> float:
        """Return the probability of taking a request from the whole bucket.

        A small quota has room for only a few requests, which may arrive at
        all gateways at the same time. If each gateway let one through, they
        would exceed the bound: if gateways with demand did, more than what is
        left and tolerated; if there was no demand before, more than fits into
        a window.
        """
        rate = self.quota.rate_per_s
        room = rate * self.tolerance.window_s / 2
        if cost <= self.capacity:
            room = 2 * room + self.quota.burst + self.tolerance.slack
        errors = ERROR_SHARE * self.tolerance.allowed_excess(self.quota)
        update_s = EXPECTED_UPDATE_MS / clock.MS_PER_SECOND
        contenders = min(
            demand.askers,
            1 + DEMAND_JUMP_FACTOR * demand.total_per_s * update_s / cost,
        )
        probability = min(
            room / (cost * max(1.0, SUDDEN_ASKER_SHARE * self.gateways)),
            (whole + errors) / (cost * contenders),
        )
        if not demand.is_contended:
            return probability
        return min(probability, ATTEMPT_FACTOR * demand.served_share)

    def _refilled_level(self, account: _Account, at_ms: int) -> float:
        elapsed_s = (at_ms - account.at_ms) / clock.MS_PER_SECOND
        level = account.level + self.quota.rate_per_s * elapsed_s
        return min(self.capacity, level)

    def _initial_level(self, at_ms: int) -> float:
        """Return the level for a book that sends its first update.

        The lowest level of the other books. Without one the bucket is empty,
        since what was spent before is not known.
        """
        fresh = self._fresh_accounts(at_ms)
        return min(
            (self._refilled_level(a, at_ms) for a in fresh), default=0.0
        )

    def _decayed_demand(self, at_ms: int) -> float:
        elapsed_ms = max(0, at_ms - self.demand_ms)
        return self.demand_rate * 2.0 ** (-elapsed_ms / DEMAND_HALF_LIFE_MS)

    def _no_book_rate(self) -> float:
        gateways = max(self.gateways, MIN_GATEWAYS)
        return NO_BOOK_SHARE * self.quota.rate_per_s / gateways

    def _refill_without_book(self, need: float, at_ms: int) -> None:
        """Fill the small bucket that is used while no book sends updates."""
        elapsed_s = max(0, at_ms - self.no_book_ms) / clock.MS_PER_SECOND
        limit = max(need, self._no_book_rate())
        level = self.no_book_level + self._no_book_rate() * elapsed_s
        self.no_book_level = min(limit, level)
        self.no_book_ms = max(self.no_book_ms, at_ms)


def _wait_ms(missing: float, rate_per_s: float) -> int:
    """Return the time until ``missing`` is refilled, 0 if nothing is."""
    if missing <= 0:
        return 0
    wait_ms = missing / max(rate_per_s, 1e-3) * clock.MS_PER_SECOND
    return int(min(MAX_WAIT_MS, wait_ms)) + 1
