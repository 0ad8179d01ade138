"""What makes a process ready sooner."""

import collections.abc
import gc
import os

FIRST_COLLECTION = 50_000
"""Objects made before the first garbage collection of a process."""


PLAIN_OPTION = '--on-platform'
"""With it every address is an IP and a port of the platform, spoken to in the
clear; settings of our own may name one that is not."""

TRUST_VARIABLES = ('SSL_CERT_FILE', 'SSL_CERT_DIR')
"""Where an operator says whom to trust."""


def hasten(arguments: collections.abc.Sequence[str]) -> None:
    """Prepare for the imports that make up most of a process's start.

    Must run before any of them, with the command line as ``arguments``. A
    gateway takes 0.5 s of processor to its first answer with all of this,
    0.7 s without.
    """
    if PLAIN_OPTION in arguments:
        skip_certificates(os.environ)
    collect_seldom()


def collect_seldom() -> None:
    """Let imports go on without garbage collections.

    They make objects that all stay, and each collection looks at them
    again: an eighth of the time of the imports.
    """
    gc.set_threshold(FIRST_COLLECTION)


def skip_certificates(
    environment: collections.abc.MutableMapping[str, str],
) -> None:
    """Let the HTTP library read no certificates when it is imported.

    It prepares for TLS at its import, and reads every certificate that the
    system trusts: 0.1 s of the 0.7 s of processor that a gateway needs from
    its start to its first answer. Only for a process that speaks to nobody
    over TLS, which would trust nobody then; and what an operator has set
    stays. Must run before that import.
    """
    if any(name in environment for name in TRUST_VARIABLES):
        return
    environment['SSL_CERT_FILE'] = os.devnull
