"""Carries out the effect that writes a log line."""

import logging

from berylhollow import effects
from berylhollow import logs


def write_log(effect: effects.Log) -> None:
    """Write a log line with the logger of the whole program."""
    level = logging.WARNING if effect.warning else logging.INFO
    logging.getLogger('berylhollow').log(
        level, effect.text, extra=logs.extra_fields(effect.fields)
    )
