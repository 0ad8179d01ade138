"""Shorten the startup of a process."""

import collections.abc
import gc
import os
import signal

GC_THRESHOLD_AT_IMPORT = 50_000
"""Objects allocated before the first garbage collection of a process."""

NO_TLS_OPTION = '--on-platform'
"""With this option all connections are unencrypted, to an IP address and port
of the platform. A settings file may name an address that needs TLS."""

SERVICES = frozenset({'gateway', 'sidecar'})
"""Commands that run until they are told to stop."""

CERTIFICATE_VARIABLES = ('SSL_CERT_FILE', 'SSL_CERT_DIR')
"""Variables with which an operator selects the trusted certificates."""


def speed_up_imports(arguments: collections.abc.Sequence[str]) -> None:
    """Speed up the imports, which take most of the startup of a process.

    Must run before any of them, with the command line as ``arguments``. A
    gateway needs 0.5 s of CPU time until its first response with these
    measures and 0.7 s without.
    """
    if NO_TLS_OPTION in arguments:
        skip_certificates(os.environ)
    raise_gc_threshold()


def ignore_hangups(arguments: collections.abc.Sequence[str]) -> None:
    """Ignore SIGHUP in a service until its event loop handles it.

    A platform sends it when settings have changed, also to a process that is
    still importing. A short command ends with its terminal as usual.
    """
    if arguments and arguments[0] in SERVICES:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


def raise_gc_threshold() -> None:
    """Raise the garbage collection threshold for the imports.

    All objects that they create stay alive, and each collection would
    traverse them again, which took an eighth of the time of the imports.
    """
    gc.set_threshold(GC_THRESHOLD_AT_IMPORT)


def skip_certificates(
    environment: collections.abc.MutableMapping[str, str],
) -> None:
    """Keep the HTTP library from reading certificates when it is imported.

    At import it prepares for TLS and reads every certificate that the system
    trusts: 0.1 s of the 0.7 s of CPU time that a gateway needs from its start
    to its first response. Only for a process without TLS connections, since
    none could be verified then. Variables set by an operator are kept. Must
    run before that import.
    """
    if any(name in environment for name in CERTIFICATE_VARIABLES):
        return
    environment['SSL_CERT_FILE'] = os.devnull
