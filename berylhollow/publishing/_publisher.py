"""Publish a manifest as one change and tell what became of it."""

import collections.abc
import dataclasses
import uuid

from berylhollow import configuration
from berylhollow import manifest
from berylhollow import outgoing
from berylhollow.publishing import _session
from berylhollow.util import exits

RETRY_PAUSE_MS = 200
SHOWN_NAMES = 5
SIGNS = {True: '+', False: '~'}


class ConflictError(exits.UserError):
    """Another change won; nothing of this one is in force."""

    def __init__(self, message: str):
        super().__init__(message, exits.ExitCode.CONFLICT)


class UnsettledError(exits.UserError):
    """The change may be in force now or later: the log did not say."""

    def __init__(self, change_id: str):
        super().__init__(
            f'the outcome of change {change_id} is not known: it may be in '
            f'force, or come into force; ask: berylhollow settle {change_id}',
            exits.ExitCode.UNAVAILABLE,
        )
        self.change_id = change_id


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What publishing a manifest would change at a revision."""

    base: configuration.Configuration
    deltas: tuple[configuration.Delta, ...]


class Publisher:
    """Publish through a session with the log; ``timeout_ms`` bounds a call."""

    def __init__(self, session: _session.Session, timeout_ms: int):
        self.session = session
        self.timeout_ms = timeout_ms

    async def plan(
        self, wanted: manifest.Manifest, base_revision: int | None = None
    ) -> Plan:
        """Return what a manifest changes against the revision in force.

        Raises ``ConflictError`` if that is not ``base_revision``.
        """
        await self.session.catch_up(self.timeout_ms)
        state = self.session.state
        present = state.configuration
        if base_revision is not None and base_revision != present.revision:
            raise ConflictError(
                f'revision {present.revision} is in force, not '
                f'{base_revision}: {self.describe_winner(state.last)}'
            )
        return Plan(present, configuration.difference(present, wanted))

    async def publish(
        self, plan: Plan, wanted: manifest.Manifest, operator: str
    ) -> int:
        """Append the change of a plan and return the accepted revision.

        Raises ``ConflictError``, ``ManifestError`` if it was invalid,
        ``UnavailableError`` if nothing was published and ``UnsettledError``
        if that is not known.
        """
        change = configuration.Change(
            plan.base.revision, operator, uuid.uuid4().hex, plan.deltas
        )
        if plan.base.revision == 0:
            change = dataclasses.replace(change, deltas=(), whole=wanted)
        await self.append(change)
        return await self.settle(change.change_id)

    async def append(self, change: configuration.Change) -> None:
        """Append until the log confirms it, or a record of it is there.

        Guards against a lost answer, which shows as a failed append whose
        change comes into force all the same. Appending again is harmless:
        the copies have one base revision, which the first one to be accepted
        replaces, so that no other can be accepted after it.
        """
        data = configuration.encode_change(change)
        give_up_ms = self.session.clock.now_ms() + self.timeout_ms
        perhaps = False
        while True:
            try:
                await self.session.log.append(configuration.STREAM, data)
                return
            except outgoing.MaybeDone:
                perhaps = True
            except outgoing.CallError as error:
                reason = str(error)
            if self.session.clock.now_ms() >= give_up_ms:
                if perhaps:
                    raise UnsettledError(change.change_id)
                raise _session.UnavailableError(
                    f'nothing was published: {reason}'
                )
            if perhaps and await self.is_there(change.change_id):
                return
            await self.session.sleep(RETRY_PAUSE_MS)

    async def is_there(self, change_id: str) -> bool:
        """Return whether a record of the change can be read by now."""
        try:
            await self.session.catch_up(RETRY_PAUSE_MS)
        except _session.UnavailableError:
            return False
        return self.verdict(change_id) is not None

    async def settle(self, change_id: str) -> int:
        """Return the revision of a change that was appended just now.

        Raises as ``publish``.
        """
        give_up_ms = self.session.clock.now_ms() + self.timeout_ms
        while True:
            try:
                await self.session.catch_up(self.timeout_ms)
            except _session.UnavailableError as error:
                raise UnsettledError(change_id) from error
            verdict = self.verdict(change_id)
            if verdict is not None:
                return self.conclude(verdict)
            if self.session.clock.now_ms() >= give_up_ms:
                raise UnsettledError(change_id)
            await self.session.sleep(RETRY_PAUSE_MS)

    async def settle_earlier(self, change_id: str) -> int:
        """Return the revision of a change of which the log holds a record.

        Raises as ``publish``; ``UnsettledError`` also if there is none, for
        one may still be under way.
        """
        offset = await self.session.find(change_id)
        if offset is None:
            raise UnsettledError(change_id)
        # A newer snapshot would hide what became of the change.
        self.session.history.reach = offset
        return await self.settle(change_id)

    def conclude(self, verdict: configuration.Verdict) -> int:
        """Return the accepted revision, or raise what became of it."""
        if verdict.outcome is configuration.Outcome.ACCEPTED:
            return verdict.offset + 1
        if verdict.outcome is configuration.Outcome.INVALID:
            raise manifest.ManifestError(verdict.faults)
        raise ConflictError(
            f'another change won: {self.describe_winner(verdict.won)}'
        )

    def verdict(self, change_id: str) -> configuration.Verdict | None:
        """Return what became of a change, None if no record was read.

        Of several records of one change at most one is accepted, and that
        one counts.
        """
        found = [
            verdict
            for verdict in self.session.history.verdicts
            if verdict.change and verdict.change.change_id == change_id
        ]
        for verdict in found:
            if verdict.outcome is configuration.Outcome.ACCEPTED:
                return verdict
        return found[0] if found else None

    def describe_winner(self, won: configuration.Accepted) -> str:
        """Return who published the change that won, and what it changed."""
        text = (
            f'revision {won.revision} by {won.operator or "nobody"} '
            f'(change {won.change_id or "none"})'
        )
        verdict = self.verdict(won.change_id)
        if verdict is None:
            return text
        names = describe_names(verdict.change)
        return f'{text}, which changed {names}'


def describe_names(change: configuration.Change) -> str:
    """Return the first few names that a change is about."""
    if change.whole is not None:
        return 'everything'
    names = [_name(delta) for delta in change.deltas]
    shown = ', '.join(names[:SHOWN_NAMES])
    more = len(names) - SHOWN_NAMES
    return f'{shown} and {more} more' if more > 0 else shown or 'nothing'


def describe_deltas(plan: Plan) -> collections.abc.Iterator[str]:
    """Yield a line per delta: added +, changed ~, removed -."""
    sections = {
        configuration.EntityKind.SERVICE: plan.base.services,
        configuration.EntityKind.ADAPTER: plan.base.adapters,
        configuration.EntityKind.CALLER: plan.base.callers,
    }
    for delta in plan.deltas:
        if isinstance(delta, configuration.Remove):
            yield f'- {delta.kind.name.lower()} {delta.name}'
            continue
        kind = configuration.KINDS[type(delta.entity)]
        sign = SIGNS[delta.entity.name not in sections[kind]]
        yield f'{sign} {kind.name.lower()} {delta.entity.name}'


def _name(delta: configuration.Delta) -> str:
    if isinstance(delta, configuration.Remove):
        return delta.name
    return delta.entity.name
