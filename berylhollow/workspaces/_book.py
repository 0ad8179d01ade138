"""Usage totals of each quota, added up over all gateways.

A book only counts; it lends nothing and decides nothing. Any process that all
gateways are linked to can keep one, and there may be several: each adds up
what gateways report to it.
"""

import collections
import dataclasses

FORGET_MS = 3_000
"""How long after its last report a gateway's counters are forgotten. Guards
against a gateway that reported to another sidecar's book meanwhile: what it
spent there would count here as if it were spent now."""

DEMAND_LIFETIME_MS = 1500
"""How long a gateway's demand counts after its last report."""


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayUsage:
    """What one gateway has used of a workspace's quota, by its own count.

    ``spent`` counts from the start of the gateway's process, ``asked_per_s``
    is the demand of its callers, whether they are served or not.
    """

    workspace: str
    spent: int
    asked_per_s: int


@dataclasses.dataclass(frozen=True, slots=True)
class UsageTotals:
    """Usage and demand over all gateways, and the part of one gateway.

    ``spent`` counts from an arbitrary start, so that only its changes are
    meaningful. ``askers`` is the number of gateways with any demand.
    """

    workspace: str
    spent: int
    asked_per_s: int
    own_spent: int
    own_asked_per_s: int
    askers: int = 0


@dataclasses.dataclass(slots=True)
class _Report:
    """The last report of a gateway.

    ``is_demand_counted`` is True while its demand is in the totals.
    """

    incarnation: str
    uses: dict[str, GatewayUsage]
    at_ms: int
    is_demand_counted: bool = True


class Book:
    """Adds up what gateways report; does no I/O.

    What a gateway spent before its first report here is not counted, since
    it may have been running for long. The totals are updated with each
    report, as gateways report several times a second each; ``reports`` is
    ordered by time, the latest last.
    """

    def __init__(self):
        self.reports: dict[str, _Report] = {}
        self.spent: dict[str, int] = {}
        self.demand: collections.Counter[str] = collections.Counter()
        self.askers: collections.Counter[str] = collections.Counter()

    def record_usage(
        self,
        gateway: str,
        incarnation: str,
        uses: tuple[GatewayUsage, ...],
        at_ms: int,
    ) -> tuple[UsageTotals, ...]:
        """Take a gateway's report and return the totals after it."""
        self._expire_silent(at_ms)
        before = self.reports.pop(gateway, None)
        known = {}
        if before is not None:
            self._remove_demand(before)
            if before.incarnation == incarnation:
                known = before.uses
        report = _Report(incarnation, {x.workspace: x for x in uses}, at_ms)
        for name, use in report.uses.items():
            spent = self.spent.setdefault(name, 0)
            if name in known:
                self.spent[name] = spent + use.spent - known[name].spent
        self.reports[gateway] = report
        self._add_demand(report, 1)
        return tuple(map(self._sum, uses))

    def _sum(self, own: GatewayUsage) -> UsageTotals:
        name = own.workspace
        return UsageTotals(
            name,
            self.spent[name],
            self.demand[name],
            own.spent,
            own.asked_per_s,
            self.askers[name],
        )

    def _expire_silent(self, at_ms: int) -> None:
        """Remove the demand of silent gateways, later their counters."""
        forgotten = []
        for gateway, report in self.reports.items():
            silent_ms = at_ms - report.at_ms
            if silent_ms < DEMAND_LIFETIME_MS:
                break
            self._remove_demand(report)
            if silent_ms >= FORGET_MS:
                forgotten.append(gateway)
        for gateway in forgotten:
            del self.reports[gateway]

    def _remove_demand(self, report: _Report) -> None:
        if report.is_demand_counted:
            report.is_demand_counted = False
            self._add_demand(report, -1)

    def _add_demand(self, report: _Report, sign: int) -> None:
        for name, use in report.uses.items():
            self.demand[name] += sign * use.asked_per_s
            self.askers[name] += sign * (use.asked_per_s > 0)
