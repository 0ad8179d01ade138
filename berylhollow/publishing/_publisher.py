"""Publish a manifest as one change and report its outcome."""

import collections.abc
import dataclasses
import uuid

from berylhollow import configuration
from berylhollow import manifest
from berylhollow import outgoing
from berylhollow.publishing import _session
from berylhollow.util import exits

RETRY_DELAY_MS = 200
MAX_SHOWN_NAMES = 5
SIGN_BY_IS_NEW = {True: '+', False: '~'}


class ConflictError(exits.UserError):
    """Another change was accepted instead; this one has no effect."""

    def __init__(self, message: str):
        super().__init__(message, exits.ExitCode.CONFLICT)


class UnsettledError(exits.UserError):
    """It is unknown whether the change is, or will be, in force."""

    def __init__(self, change_id: str):
        super().__init__(
            f'the outcome of change {change_id} is not known: it may be in '
            f'force, or come into force; ask: berylhollow settle {change_id}',
            exits.ExitCode.UNAVAILABLE,
        )
        self.change_id = change_id


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The changes that publishing a manifest makes to a base revision."""

    base: configuration.Configuration
    deltas: tuple[configuration.Delta, ...]


class Publisher:
    """Publishes through a session; ``timeout_ms`` limits each operation."""

    def __init__(self, session: _session.Session, timeout_ms: int):
        self.session = session
        self.timeout_ms = timeout_ms

    async def plan(
        self, wanted: manifest.Manifest, base_revision: int | None = None
    ) -> Plan:
        """Return the difference between a manifest and the revision in force.

        Raises ``ConflictError`` if that revision is not ``base_revision``.
        """
        await self.session.catch_up(self.timeout_ms)
        state = self.session.state
        present = state.configuration
        if base_revision is not None and base_revision != present.revision:
            raise ConflictError(
                f'revision {present.revision} is in force, not '
                f'{base_revision}: {self.describe_accepted(state.last)}'
            )
        return Plan(present, configuration.difference(present, wanted))

    async def publish(
        self, plan: Plan, wanted: manifest.Manifest, operator: str
    ) -> int:
        """Append the change of a plan and return the accepted revision.

        Raises ``ConflictError`` if another change was accepted instead,
        ``ManifestError`` if the manifest is invalid, ``UnavailableError`` if
        nothing was published and ``UnsettledError`` if the outcome is unknown.
        """
        change = configuration.Change(
            plan.base.revision, operator, uuid.uuid4().hex, plan.deltas
        )
        if plan.base.revision == 0:
            change = dataclasses.replace(change, deltas=(), whole=wanted)
        await self.append(change)
        return await self.settle(change.change_id)

    async def append(self, change: configuration.Change) -> None:
        """Append a change, retrying until its record is known to be stored.

        If the response is lost, the append seems to have failed although the
        change comes into force. Appending it again is safe: all copies have
        the same base revision, so after the first is accepted the others
        conflict with it.
        """
        data = configuration.encode_change(change)
        deadline_ms = self.session.clock.now_ms() + self.timeout_ms
        is_maybe_appended = False
        while True:
            try:
                await self.session.log.append(configuration.STREAM, data)
                return
            except outgoing.CallOutcomeUnknown:
                is_maybe_appended = True
            except outgoing.CallError as error:
                reason = str(error)
            if self.session.clock.now_ms() >= deadline_ms:
                if is_maybe_appended:
                    raise UnsettledError(change.change_id)
                raise _session.UnavailableError(
                    f'nothing was published: {reason}'
                )
            if is_maybe_appended and await self.has_record(change.change_id):
                return
            await self.session.sleep(RETRY_DELAY_MS)

    async def has_record(self, change_id: str) -> bool:
        """Return whether the log shows a record of the change by now."""
        try:
            await self.session.catch_up(RETRY_DELAY_MS)
        except _session.UnavailableError:
            return False
        return self.verdict(change_id) is not None

    async def settle(self, change_id: str) -> int:
        """Wait for the outcome of an appended change and return its revision.

        Raises as ``publish``.
        """
        deadline_ms = self.session.clock.now_ms() + self.timeout_ms
        while True:
            try:
                await self.session.catch_up(self.timeout_ms)
            except _session.UnavailableError as error:
                raise UnsettledError(change_id) from error
            verdict = self.verdict(change_id)
            if verdict is not None:
                return self.revision_or_raise(verdict)
            if self.session.clock.now_ms() >= deadline_ms:
                raise UnsettledError(change_id)
            await self.session.sleep(RETRY_DELAY_MS)

    async def settle_from_earlier_session(self, change_id: str) -> int:
        """Find a change of an earlier session and return its revision.

        Raises as ``publish``; ``UnsettledError`` also if the log has no
        record of it, since an append may still be in progress.
        """
        offset = await self.session.find_change(change_id)
        if offset is None:
            raise UnsettledError(change_id)
        # A snapshot beyond the change would hide its verdict.
        self.session.history.max_snapshot_offset = offset
        return await self.settle(change_id)

    def revision_or_raise(self, verdict: configuration.Verdict) -> int:
        """Return the accepted revision, or raise the error for the verdict."""
        if verdict.outcome is configuration.Outcome.ACCEPTED:
            return verdict.offset + 1
        if verdict.outcome is configuration.Outcome.INVALID:
            raise manifest.ManifestError(verdict.faults)
        raise ConflictError(
            f'another change won: {self.describe_accepted(verdict.winner)}'
        )

    def verdict(self, change_id: str) -> configuration.Verdict | None:
        """Return the verdict on a change, None if no record of it was read.

        If the change has several records, at most one of them is accepted;
        its verdict is returned.
        """
        matching = [
            verdict
            for verdict in self.session.history.verdicts
            if verdict.change and verdict.change.change_id == change_id
        ]
        for verdict in matching:
            if verdict.outcome is configuration.Outcome.ACCEPTED:
                return verdict
        return matching[0] if matching else None

    def describe_accepted(self, winner: configuration.Accepted) -> str:
        """Return the revision, operator and content of an accepted change."""
        text = (
            f'revision {winner.revision} by {winner.operator or "nobody"} '
            f'(change {winner.change_id or "none"})'
        )
        verdict = self.verdict(winner.change_id)
        if verdict is None:
            return text
        names = describe_names(verdict.change)
        return f'{text}, which changed {names}'


def describe_names(change: configuration.Change) -> str:
    """Return a text with the first few names in a change."""
    if change.whole is not None:
        return 'everything'
    names = [_entity_name(delta) for delta in change.deltas]
    shown = ', '.join(names[:MAX_SHOWN_NAMES])
    hidden_count = len(names) - MAX_SHOWN_NAMES
    return (
        f'{shown} and {hidden_count} more'
        if hidden_count > 0
        else shown or 'nothing'
    )


def describe_deltas(plan: Plan) -> collections.abc.Iterator[str]:
    """Yield a line per delta, with + for added, ~ changed and - removed."""
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
        sign = SIGN_BY_IS_NEW[delta.entity.name not in sections[kind]]
        yield f'{sign} {kind.name.lower()} {delta.entity.name}'


def _entity_name(delta: configuration.Delta) -> str:
    if isinstance(delta, configuration.Remove):
        return delta.name
    return delta.entity.name
