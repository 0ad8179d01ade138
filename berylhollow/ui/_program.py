"""Parse the command line, run one command and print its errors."""

import argparse
import collections.abc
import importlib
import sys
import traceback

import berylhollow
from berylhollow import errors
from berylhollow.ui import commands
from berylhollow.util import exits

PROGRAM = 'berylhollow'
EXIT_CODES_NOTE = (
    'exit codes: 0 done, 1 failure, 2 invalid input, 3 conflict, '
    '4 unavailable, 5 findings, 6 address in use, 70 stop timed out'
)

# Exit code for each kind of retry that an error allows.
EXIT_CODES = {
    errors.Retry.CHANGED: exits.ExitCode.INVALID,
    errors.Retry.IF_IDEMPOTENT: exits.ExitCode.FAILURE,
    errors.Retry.LATER: exits.ExitCode.UNAVAILABLE,
    errors.Retry.NEVER: exits.ExitCode.FAILURE,
}


def main(argv: collections.abc.Sequence[str]) -> int:
    """Run the command in ``argv`` and return the exit code.

    A ``UserError`` is printed on stderr, one line per fault. An unexpected
    exception is printed as one line. ``--debug`` adds the traceback.
    """
    arguments = build_parser(argv).parse_args(argv)
    try:
        return int(arguments.run(arguments))
    except exits.UserError as error:
        _print_error(error.message, arguments.debug)
        return int(error.exit_code)
    except errors.BerylhollowError as error:
        _print_error(str(error), arguments.debug)
        return int(EXIT_CODES[error.answer.retry])
    except BrokenPipeError:
        # The reader of stdout (such as ``| head``) has exited. This is not an
        # error of the command, so nothing is reported.
        sys.stderr.close()
        return int(exits.ExitCode.OK)
    except Exception as error:
        _print_error(f'{type(error).__name__}: {error}', arguments.debug)
        return int(exits.ExitCode.FAILURE)


def _print_error(message: str, debug: bool) -> None:
    if debug:
        traceback.print_exc()
    for line in message.splitlines():
        print(f'{PROGRAM}: {line}', file=sys.stderr)


def build_parser(
    argv: collections.abc.Sequence[str],
) -> argparse.ArgumentParser:
    """Return a parser with the arguments of the command in ``argv``.

    The other commands are listed by name and help only. Their modules are not
    imported, as a gateway has no memory to spare for a report's libraries.
    """
    parser = _create_parser(argparse.ArgumentParser, PROGRAM, None)
    parser.description = berylhollow.__doc__
    parser.add_argument(
        '--version',
        action='version',
        version=f'{PROGRAM} {berylhollow.__version__}',
    )
    parser.add_argument(
        '--debug', action='store_true', help='show tracebacks of errors'
    )
    selected = _find_command(argv)
    subparsers = {(): _add_subparsers(parser)}
    for command in commands.COMMANDS:
        group = command.words[:-1]
        if group not in subparsers:
            subparsers[group] = _add_group(subparsers[()], group[0])
        _add_command(subparsers[group], command, command is selected)
    return parser


def _find_command(
    argv: collections.abc.Sequence[str],
) -> commands.Command | None:
    words = tuple(word for word in argv if not word.startswith('-'))
    for command in commands.COMMANDS:
        if words[: len(command.words)] == command.words:
            return command
    return None


def _add_subparsers(parser):
    return parser.add_subparsers(
        title='commands', metavar='COMMAND', required=True
    )


def _add_group(subparsers, name: str):
    summary = commands.GROUPS[name]
    return _add_subparsers(
        _create_parser(subparsers.add_parser, name, summary)
    )


def _add_command(
    subparsers, command: commands.Command, is_selected: bool
) -> None:
    parser = _create_parser(
        subparsers.add_parser, command.words[-1], command.help
    )
    if not is_selected:
        return
    module = importlib.import_module(command.module)
    parser.epilog = f'example:\n  {module.EXAMPLE}\n\n{EXIT_CODES_NOTE}'
    parser.add_argument(
        '--debug',
        action='store_true',
        default=argparse.SUPPRESS,
        help='show tracebacks of errors',
    )
    module.add_arguments(parser)
    parser.set_defaults(run=module.run)


def _create_parser(create, name: str, summary: str | None):
    keywords = {} if summary is None else {'help': summary}
    parser = create(
        name,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        allow_abbrev=False,
        **keywords,
    )
    if summary is not None:
        parser.description = f'{summary[0].upper()}{summary[1:]}.'
    else:
        parser.epilog = EXIT_CODES_NOTE
    return parser
