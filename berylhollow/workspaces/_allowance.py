"""What one gateway may let through of a quota that holds over all of them.

Every gateway fills a bucket with the whole rate and takes from it what all
have spent, as a book adds it up. Where callers ask for less than the rate, a
gateway takes what it needs; where they ask for more, it takes the share of
its own callers. Words are late by a moment; what was spent too much meanwhile
is missing from the bucket afterwards, so that errors do not add up.
"""

import dataclasses
import math

from berylhollow import clock
from berylhollow.workspaces import _book
from berylhollow.workspaces import _types

STALE_MS = 900
"""A book that was not heard for so long says nothing any more. Guards against
gateways that are cut off under pressure: what they spend until then is not in
the sums, and the others spend it once more."""

LONGEST_DEBT_S = 8
"""How long nothing is let through at most for what was spent too much."""

PRESSED = 1.5
"""Times the rate: with less demand errors between two words are small, and
demand for a few requests a second is not known more exactly."""

PROBE_SHARE = 1 / 16
"""Of what is left: what one gateway takes of it between two words. Others may
find it at the same moment."""

BURST_PART = 0.25
"""Of what is tolerated beyond a quota: for bursts. A workspace that is below
its rate on average has a few large requests at once now and then."""

ERROR_PART = 0.7
"""Of what is tolerated: for what gateways spend at one moment, each of them
without having heard of the others."""

CROWD = 12
"""Times the requests that are expected between two words: how many may come
as demand jumps, each to another gateway."""

REST_SHARE = 1 / 3
"""Of all gateways: how many may be asked at one moment where nothing was asked
before."""

EAGERNESS = 2.0
"""Times the part of the demand that a quota allows: how often a gateway tries
for the whole. Where too many do at once, all wait until it is made up for."""

NEXT_WORD_MS = 200
"""When to come back where only the chance of the moment was against it."""

EXPECTED_WORD_MS = 200
"""How long a word may take to come while all is well and something is asked
for."""

ASKED_HALF_LIFE_MS = 1000.0
"""How fast demand is forgotten."""

ALONE_SHARE = 0.05
"""Of the rate: what all gateways that hear no book may use together, since
those that do go on with all of it."""

LEAST_GATEWAYS = 32
"""Taken for their number where it is not known."""

LEAST_WAIT_SHARE = 0.25
"""Of the rate: refused callers spend nothing, so that at least so much of it
comes back for whoever waits."""

LONGEST_WAIT_MS = 30_000


@dataclasses.dataclass(slots=True)
class _Account:
    """What one book last said, and the bucket that follows from it."""

    book: str
    sum: _book.Sum
    level: float
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class _View:
    """What all callers ask for, as this gateway sees it.

    ``share`` is the part that comes to it, ``granted`` the part of it that
    the quota allows; ``pressed`` tells that it is clearly more.
    ``others_rate`` is what the others are expected to spend, ``own_rate``
    what that leaves. Callers ask for ``asked`` a second, at ``askers``
    gateways.
    """

    asked: float
    pressed: bool
    granted: float
    share: float
    others_rate: float
    own_rate: float
    askers: int


class Allowance:
    """One workspace's quota at one gateway; a pure machine.

    ``gateways`` is how many there are, as far as is known. ``spent`` is all
    that was spent here, less what was given back. ``draw`` is a chance that
    is new with each word of a book.
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
        self.draw = 0.0
        self.asked_rate = 0.0
        self.asked_ms = at_ms
        self.alone_level = 0.0
        self.alone_ms = at_ms

    @property
    def capacity(self) -> float:
        """What the bucket holds."""
        tolerated = self.tolerance.of(self.quota)
        return self.quota.capacity + BURST_PART * tolerated

    def declare(self, quota: _types.Quota) -> None:
        """Take a changed quota; debts of the one before do not outlast it."""
        if quota == self.quota:
            return
        self.quota = quota
        for account in self.accounts.values():
            least = -quota.rate_per_s
            account.level = max(least, min(account.level, self.capacity))

    def ask(self, cost: int, at_ms: int) -> None:
        """Count what a caller asks for, whether it is let through or not."""
        self.asked_rate = self._asked(at_ms)
        per_s = clock.MS_PER_SECOND / ASKED_HALF_LIFE_MS
        self.asked_rate += cost * math.log(2) * per_s
        self.asked_ms = at_ms

    def wait_ms(self, cost: int, at_ms: int) -> int:
        """Return how long to wait before so much may be spent, 0 if now."""
        need = min(cost, self.capacity)
        fresh = self._fresh(at_ms)
        if not fresh:
            self._refill_alone(need, at_ms)
            return _wait_ms(need - self.alone_level, self._alone_rate())
        self.alone_ms = at_ms
        self.alone_level = 0.0
        view = self._view(fresh, at_ms)
        room = min(self._room(a, view, at_ms) for a in fresh)
        if room >= need:
            return 0
        whole = min(self._whole(a, view, at_ms) for a in fresh)
        unseen = max(map(self._unseen, fresh))
        if whole < need or unseen > 0:
            least_rate = LEAST_WAIT_SHARE * self.quota.rate_per_s
            rate = max(view.own_rate, least_rate)
            return _wait_ms(need - min(room, whole), rate)
        if self.draw < self._chance(cost, whole, view):
            return 0
        return NEXT_WORD_MS

    def spend(self, cost: int, at_ms: int) -> None:
        """Count a request that is sent on."""
        if not self._fresh(at_ms):
            self._refill_alone(cost, at_ms)
            self.alone_level -= cost
        self.spent += cost

    def give_back(self, cost: int) -> None:
        """Count a request that is proven not to have run."""
        self.spent -= cost
        self.alone_level += cost

    def use(self, workspace: str, at_ms: int) -> _book.Use:
        """Return what books are told."""
        return _book.Use(workspace, self.spent, int(self._asked(at_ms)))

    def heard(
        self, peer: str, book: str, found: _book.Sum, draw: float, at_ms: int
    ) -> None:
        """Take the sums of a book; ``draw`` is fresh randomness in [0, 1)."""
        account = self.accounts.get(peer)
        if account is None or account.book != book:
            level = self._joined_level(at_ms)
        else:
            level = self._filled(account, at_ms)
            level -= found.spent - account.sum.spent
            level = max(level, -LONGEST_DEBT_S * self.quota.rate_per_s)
        self.accounts[peer] = _Account(book, found, level, at_ms)
        self.draw = draw

    def forget_stale(self, at_ms: int) -> None:
        """Drop the accounts of books that are not heard any more."""
        self.accounts = {
            peer: account
            for peer, account in self.accounts.items()
            if at_ms - account.at_ms < STALE_MS
        }

    def _fresh(self, at_ms: int) -> list[_Account]:
        return [
            account
            for account in self.accounts.values()
            if at_ms - account.at_ms < STALE_MS
        ]

    def _view(self, fresh: list[_Account], at_ms: int) -> _View:
        own = self._asked(at_ms)
        others = max(a.sum.asked_per_s - a.sum.own_asked_per_s for a in fresh)
        share = own / (own + others) if own + others > 0 else 1.0
        rate = self.quota.rate_per_s
        pressed = own + others > PRESSED * rate
        spent_by_others = min(others, rate * (1.0 - share))
        if not pressed:
            spent_by_others = min(others, rate)
        return _View(
            own + others,
            pressed,
            min(1.0, rate / max(1.0, own + others)),
            share,
            spent_by_others,
            rate - spent_by_others,
            max(1, *(a.sum.askers for a in fresh)),
        )

    def _room(self, account: _Account, view: _View, at_ms: int) -> float:
        """Return what this gateway may take for its own until the next word.

        Where many find the same level at one moment, each takes a part.
        """
        part = PROBE_SHARE
        if view.pressed:
            part = min(part, view.share)
        gained = self._gained(account, view, at_ms)
        if account.level > 0:
            room = max(account.level * part, gained)
        else:
            room = account.level + gained
        return room - self._unseen(account)

    def _whole(self, account: _Account, view: _View, at_ms: int) -> float:
        """Return what would be left of the bucket for this gateway alone."""
        level = account.level + self._gained(account, view, at_ms)
        return min(self.capacity, level) - self._unseen(account)

    def _gained(self, account: _Account, view: _View, at_ms: int) -> float:
        """Return what this gateway's part of the rate came to since a word.

        Only for as long as the next word may take: guards against gateways
        that are cut off as demand rises, and each go on as if alone.
        """
        passed_ms = min(at_ms - account.at_ms, EXPECTED_WORD_MS)
        return view.own_rate * passed_ms / clock.MS_PER_SECOND

    def _unseen(self, account: _Account) -> int:
        return self.spent - account.sum.own_spent

    def _chance(self, cost: int, whole: float, view: _View) -> float:
        """Return how likely one request alone may take from the whole.

        Small quotas have room for a few requests, which may come to all
        gateways at one moment. Taken by each, they would be more than the
        bound: of those where callers ask, more than what is left and is
        tolerated; where nothing was asked, more than a window has room for.
        """
        rate = self.quota.rate_per_s
        room = rate * self.tolerance.window_s / 2
        if cost <= self.capacity:
            room = 2 * room + self.quota.burst + self.tolerance.slack
        errors = ERROR_PART * self.tolerance.of(self.quota)
        word_s = EXPECTED_WORD_MS / clock.MS_PER_SECOND
        crowd = min(view.askers, 1 + CROWD * view.asked * word_s / cost)
        chance = min(
            room / (cost * max(1.0, REST_SHARE * self.gateways)),
            (whole + errors) / (cost * crowd),
        )
        if not view.pressed:
            return chance
        return min(chance, EAGERNESS * view.granted)

    def _filled(self, account: _Account, at_ms: int) -> float:
        passed_s = (at_ms - account.at_ms) / clock.MS_PER_SECOND
        level = account.level + self.quota.rate_per_s * passed_s
        return min(self.capacity, level)

    def _joined_level(self, at_ms: int) -> float:
        """Return the level for a book that is heard for the first time.

        Without another one the bucket is empty: what was spent before is
        not known.
        """
        fresh = self._fresh(at_ms)
        return min((self._filled(a, at_ms) for a in fresh), default=0.0)

    def _asked(self, at_ms: int) -> float:
        passed_ms = max(0, at_ms - self.asked_ms)
        return self.asked_rate * 2.0 ** (-passed_ms / ASKED_HALF_LIFE_MS)

    def _alone_rate(self) -> float:
        gateways = max(self.gateways, LEAST_GATEWAYS)
        return ALONE_SHARE * self.quota.rate_per_s / gateways

    def _refill_alone(self, need: float, at_ms: int) -> None:
        """Fill the small share that is used while no book is heard."""
        passed_s = max(0, at_ms - self.alone_ms) / clock.MS_PER_SECOND
        most = max(need, self._alone_rate())
        level = self.alone_level + self._alone_rate() * passed_s
        self.alone_level = min(most, level)
        self.alone_ms = max(self.alone_ms, at_ms)


def _wait_ms(missing: float, rate_per_s: float) -> int:
    """Return when what is missing will be there, 0 if nothing is."""
    if missing <= 0:
        return 0
    wait_ms = missing / max(rate_per_s, 1e-3) * clock.MS_PER_SECOND
    return int(min(LONGEST_WAIT_MS, wait_ms)) + 1
