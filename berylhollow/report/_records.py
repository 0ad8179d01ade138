"""Typed records of the log lines that a report is made from."""

import collections.abc
import dataclasses
import datetime
import enum
import json

from berylhollow import clock

ANSWERED = 'answered'


class MarkKind(enum.Enum):
    """What a timeline shows beside the answers."""

    CONFIGURATION = 'configuration in force'
    LOAD = 'adapter loaded'
    LOAD_FAILED = 'load failed'
    RESTART = 'engine restarted'
    QUARANTINE = 'request quarantined'


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """One answered request; times and durations in milliseconds.

    ``at_ms`` is UTC since the epoch. ``kind`` is empty for a whole answer.
    ``parts`` counts the parts of an event stream, about one a token.
    """

    at_ms: int
    caller: str
    service: str
    adapter: str
    kind: str
    ran: str
    duration_ms: int
    first_byte_ms: int | None
    deadline_ms: int | None
    stalled_ms: int | None
    parts: int


@dataclasses.dataclass(frozen=True, slots=True)
class Mark:
    """Something that happened to the deployment itself."""

    at_ms: int
    kind: MarkKind
    instance: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Records:
    """All that was found; ``skipped`` lines were no log lines of ours."""

    answers: tuple[Answer, ...]
    marks: tuple[Mark, ...]
    skipped: int


def read(lines: collections.abc.Iterable[str]) -> Records:
    """Return the answers and marks among log lines, in order of time.

    Lines of other messages are passed over; a line that is no JSON object
    with a time, or lacks a field, is counted as skipped.
    """
    answers: list[Answer] = []
    marks: list[Mark] = []
    skipped = 0
    kinds = {kind.value: kind for kind in MarkKind}
    for line in lines:
        try:
            fields = json.loads(line)
            message = fields['message']
            if message == ANSWERED:
                answers.append(_answer(fields))
            elif message in kinds:
                marks.append(_mark(fields, kinds[message]))
        except (ValueError, TypeError, KeyError, AttributeError):
            skipped += 1
    answers.sort(key=lambda answer: answer.at_ms)
    marks.sort(key=lambda mark: mark.at_ms)
    return Records(tuple(answers), tuple(marks), skipped)


def _answer(fields: dict) -> Answer:
    return Answer(
        at_ms=_at_ms(fields),
        caller=fields['caller'],
        service=fields['service'],
        adapter=fields['adapter'],
        kind=fields['kind'],
        ran=fields['ran'],
        duration_ms=int(fields['duration_ms']),
        first_byte_ms=fields.get('first_byte_ms'),
        deadline_ms=fields.get('deadline_ms'),
        stalled_ms=fields.get('stalled_ms'),
        parts=int(fields.get('parts') or 0),
    )


def _mark(fields: dict, kind: MarkKind) -> Mark:
    named = ('revision', 'adapter', 'version', 'reason', 'epoch')
    detail = ' '.join(str(fields[name]) for name in named if name in fields)
    return Mark(_at_ms(fields), kind, fields.get('instance', ''), detail)


def _at_ms(fields: dict) -> int:
    moment = datetime.datetime.fromisoformat(fields['time'])
    return int(moment.timestamp() * clock.MS_PER_SECOND)
