"""Operators who publish changes, and what each was told.

They read the log with the machine of the operators' commands, append, and
read on until the log says what became of the change.
"""

import collections.abc
import dataclasses
import enum

from berylhollow import configuration
from berylhollow import effects
from berylhollow import events
from berylhollow import replay

TICK_MS = 100
GIVE_UP_MS = 4000


class Answer(enum.Enum):
    """What the command told its operator."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    INVALID = 'invalid'
    UNAVAILABLE = 'unavailable'
    UNSETTLED = 'unsettled'


@dataclasses.dataclass(slots=True, eq=False)
class Publication:
    """A change that an operator wants, and how it went.

    ``revision`` is that of an accepted change, ``base`` what it is based on.
    """

    name: str
    deltas: tuple[configuration.Delta, ...]
    begun_ms: float
    base: int | None = None
    answer: Answer | None = None
    answered_ms: float = 0.0
    revision: int = 0


class Operator:
    """One run of the publishing command; to the log it is a process."""

    alive = True

    def __init__(
        self,
        world: replay.World,
        publication: Publication,
        told: collections.abc.Callable[[Publication], None],
    ):
        self.world = world
        self.publication = publication
        self.report = told
        self.instance = publication.name
        self.history = configuration.History()
        self.reader = configuration.LogReader(self.history, self.instance)
        self.appended = False
        self.perhaps = False

    def begin(self) -> None:
        """Read the configuration in force, then publish."""
        self.perform(self.reader.read(self.world.at_ms))
        self.wait()

    def receive(self, carry_out, *arguments: object) -> None:
        carry_out(*arguments)

    def told(self, kind: type, *values: object) -> None:
        """Take what the log answered."""
        event = kind(self.world.at_ms, *values)
        if isinstance(event, events.Appended):
            self.appended = True
        elif isinstance(event, events.AppendFailed):
            self.append_failed(event)
        else:
            self.perform(self.reader.handle(event))
        self.advance()

    def append_failed(self, event: events.AppendFailed) -> None:
        if event.certainty is events.Certainty.UNKNOWN:
            self.perhaps = True
            self.appended = True
        else:
            self.conclude(Answer.UNAVAILABLE)

    def wait(self) -> None:
        """Look again after a while, until the command gives up."""
        if self.publication.answer is not None:
            return
        if self.world.now_ms - self.publication.begun_ms > GIVE_UP_MS:
            unsure = self.appended or self.publication.base is not None
            self.conclude(Answer.UNSETTLED if unsure else Answer.UNAVAILABLE)
            return
        self.world.schedule(
            TICK_MS, replay.Point.OTHER, 'operator', self.instance, self.look
        )

    def look(self) -> None:
        if self.appended:
            self.reader.wanted = True
        self.perform(self.reader.tick(self.world.at_ms))
        self.advance()
        self.wait()

    def advance(self) -> None:
        """Append once the base is known; end once the verdict is read."""
        if self.publication.answer is not None:
            return
        if self.publication.base is None:
            if self.reader.caught_up_ms is not None:
                self.append()
            return
        for verdict in self.history.verdicts:
            change = verdict.change
            if change is not None and change.change_id == self.instance:
                self.judge(verdict)
                return

    def append(self) -> None:
        base = self.history.state.configuration.revision
        self.publication.base = base
        change = configuration.Change(
            base, self.instance, self.instance, self.publication.deltas
        )
        data = configuration.encode_change(change)
        self.perform(
            [effects.Append(configuration.STREAM, self.instance, data)]
        )

    def judge(self, verdict: configuration.Verdict) -> None:
        if verdict.outcome is configuration.Outcome.ACCEPTED:
            self.publication.revision = verdict.offset + 1
            self.conclude(Answer.ACCEPTED)
        elif verdict.outcome is configuration.Outcome.CONFLICT:
            self.conclude(Answer.CONFLICT)
        else:
            self.conclude(Answer.INVALID)

    def conclude(self, answer: Answer) -> None:
        self.publication.answer = answer
        self.publication.answered_ms = self.world.now_ms
        self.report(self.publication)

    def perform(self, wanted: list[effects.Effect]) -> None:
        for effect in wanted:
            if isinstance(effect, effects.Append):
                self.world.log.append(self, effect)
            else:
                self.world.log.read(self, effect)
