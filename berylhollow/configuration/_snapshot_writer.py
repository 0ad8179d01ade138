"""Writes snapshots before the log drops the records they include."""

from berylhollow.configuration import _hash_assignment
from berylhollow.configuration import _history
from berylhollow.configuration import _log_reader
from berylhollow import effects
from berylhollow import events

WRITER_COUNT = 2
WRITER_TASK = 'snapshots'
INTERVAL_MS = 10 * 60 * 1000
FIRST_SNAPSHOT_DELAY_MS = 60 * 1000
RETRY_MS = 15 * 1000


class SnapshotWriter:
    """Writes snapshots while this process is one of the chosen gateways.

    The chosen gateways write independently: two snapshots per interval cost
    little, and a gateway that can't reach the log must not keep the other
    from writing. A snapshot that is written late or twice is harmless, see
    ``History.install``. Snapshots are written even if nothing has changed,
    as the log drops old snapshots like any other records.
    """

    def __init__(self, instance: str, history: _history.History):
        self.instance = instance
        self.history = history
        self.due_ms: int | None = None
        self.append_id = ''
        self.append_count = 0

    def update_gateways(self, gateways: list[str], at_ms: int) -> None:
        """Start or stop writing according to the list of live gateways."""
        chosen = _hash_assignment.choose(WRITER_TASK, gateways, WRITER_COUNT)
        if self.instance not in chosen:
            self.due_ms = None
        elif self.due_ms is None:
            fraction = _hash_assignment.fraction_of(WRITER_TASK, self.instance)
            self.due_ms = at_ms + int(FIRST_SNAPSHOT_DELAY_MS * (1 + fraction))

    def tick(self, at_ms: int) -> list[effects.Effect]:
        """Write a snapshot if one is due and a change has been accepted."""
        if self.due_ms is None or at_ms < self.due_ms:
            return []
        if self.history.state.configuration.revision == 0:
            return []
        self.due_ms = at_ms + INTERVAL_MS
        self.append_count += 1
        self.append_id = f'snapshot-{self.append_count}'
        return [
            effects.Append(
                _log_reader.SNAPSHOT_STREAM,
                self.append_id,
                self.history.snapshot(),
            )
        ]

    def handle(self, event: events.Event) -> None:
        """Write again after ``RETRY_MS`` if the append failed."""
        if (
            isinstance(event, events.AppendFailed)
            and event.append_id == self.append_id
            and self.due_ms is not None
        ):
            self.due_ms = min(self.due_ms, event.at_ms + RETRY_MS)
