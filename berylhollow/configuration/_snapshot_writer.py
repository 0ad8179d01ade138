"""Writing snapshots, long before the log cuts off what they stand for."""

from berylhollow.configuration import _history
from berylhollow.configuration import _log_reader
from berylhollow.configuration import _ranking
from berylhollow import effects
from berylhollow import events

WRITERS = 2
TASK = 'snapshots'
INTERVAL_MS = 10 * 60 * 1000
FIRST_AFTER_MS = 60 * 1000
RETRY_MS = 15 * 1000


class SnapshotWriter:
    """Writes while this process is among the chosen gateways.

    Each chosen one writes at its own times and looks at no other's: two a
    time cost little, and a chosen one that can't reach the log must not keep
    the others from writing. A snapshot that is written late or twice is
    harmless, see ``History.install``. One is written also when nothing
    changes, for snapshots are cut off by the log like all else.
    """

    def __init__(self, instance: str, history: _history.History):
        self.instance = instance
        self.history = history
        self.due_ms: int | None = None
        self.appending = ''
        self.count = 0

    def choose(self, gateways: list[str], at_ms: int) -> None:
        """Begin or stop to write, as the list of live gateways has it."""
        chosen = _ranking.chosen(TASK, gateways, WRITERS)
        if self.instance not in chosen:
            self.due_ms = None
        elif self.due_ms is None:
            share = _ranking.share(TASK, self.instance)
            self.due_ms = at_ms + int(FIRST_AFTER_MS * (1 + share))

    def tick(self, at_ms: int) -> list[effects.Effect]:
        """Write if it is due and something has been accepted."""
        if self.due_ms is None or at_ms < self.due_ms:
            return []
        if self.history.state.configuration.revision == 0:
            return []
        self.due_ms = at_ms + INTERVAL_MS
        self.count += 1
        self.appending = f'snapshot-{self.count}'
        return [
            effects.Append(
                _log_reader.SNAPSHOT_STREAM,
                self.appending,
                self.history.snapshot(),
            )
        ]

    def handle(self, event: events.Event) -> None:
        """Try again soon if an append brought no answer."""
        if (
            isinstance(event, events.AppendFailed)
            and event.append_id == self.appending
            and self.due_ms is not None
        ):
            self.due_ms = min(self.due_ms, event.at_ms + RETRY_MS)
