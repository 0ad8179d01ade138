"""Parse the log lines that a report is computed from."""

import collections.abc
import dataclasses
import datetime
import enum
import json

from berylhollow import clock

ANSWERED_MESSAGE = 'answered'


class MarkKind(enum.Enum):
    """Kinds of deployment events; each value is the log message."""

    CONFIGURATION = 'configuration in force'
    LOAD = 'adapter loaded'
    LOAD_FAILED = 'load failed'
    RESTART = 'engine restarted'
    QUARANTINE = 'request quarantined'


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """One answered request; times and durations in milliseconds.

    ``at_ms`` is UTC since the epoch. ``kind`` is the kind of error, empty for
    a complete answer. ``parts`` counts the parts of an event stream, about one
    per token.
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
    """An event of the deployment, shown on the timeline."""

    at_ms: int
    kind: MarkKind
    instance: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Records:
    """The parsed log; ``skipped`` counts the lines that can't be parsed."""

    answers: tuple[Answer, ...]
    marks: tuple[Mark, ...]
    skipped: int


def parse_log(lines: collections.abc.Iterable[str]) -> Records:
    """Return the answers and marks of the log lines, in order of time.

    Lines with other messages are ignored. A line that is not a JSON object
    with a message, or lacks a required field, is counted as skipped.
    """
    answers: list[Answer] = []
    marks: list[Mark] = []
    skipped = 0
    kinds = {kind.value: kind for kind in MarkKind}
    for line in lines:
        try:
            fields = json.loads(line)
            message = fields['message']
            if message == ANSWERED_MESSAGE:
                answers.append(_parse_answer(fields))
            elif message in kinds:
                marks.append(_parse_mark(fields, kinds[message]))
        except (ValueError, TypeError, KeyError, AttributeError):
            skipped += 1
    answers.sort(key=lambda answer: answer.at_ms)
    marks.sort(key=lambda mark: mark.at_ms)
    return Records(tuple(answers), tuple(marks), skipped)


def _parse_answer(fields: dict) -> Answer:
    return Answer(
        at_ms=_parse_time_ms(fields),
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


def _parse_mark(fields: dict, kind: MarkKind) -> Mark:
    detail_keys = ('revision', 'adapter', 'version', 'reason', 'epoch')
    detail = ' '.join(
        str(fields[name]) for name in detail_keys if name in fields
    )
    return Mark(
        _parse_time_ms(fields), kind, fields.get('instance', ''), detail
    )


def _parse_time_ms(fields: dict) -> int:
    time = datetime.datetime.fromisoformat(fields['time'])
    return int(time.timestamp() * clock.MS_PER_SECOND)
