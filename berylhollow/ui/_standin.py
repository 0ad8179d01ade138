"""Arguments and start-up shared by the ``stand-in`` commands."""

import argparse
import collections.abc

from aiohttp import web

from berylhollow import logs
from berylhollow import settings

STOP_GRACE_MS = 120_000


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--settings', metavar='FILE', required=True, help='settings file'
    )


def run(
    arguments: argparse.Namespace,
    role: settings.Role,
    make_application: collections.abc.Callable[..., web.Application],
) -> int:
    """Serve the stand-in for a role until a signal stops the process."""
    # Imported here because importing aiomisc needs a file descriptor for
    # stderr, which printing a help text must not depend on.
    from berylhollow.standin import http_service
    from berylhollow.util import loop

    options = settings.load(arguments.settings, role)
    logs.configure(options.log.level, role, options.instance)

    def make_services(lifetime: loop.Lifetime):
        service = http_service.HttpService(
            application=make_application(options),
            host=options.listen.host,
            port=options.listen.port,
        )
        return [service]

    return loop.run(make_services, stop_grace_ms=STOP_GRACE_MS)
