"""Parse the command line, run one command and report its errors."""

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

# What to tell a script, from what the error says may be done next.
EXIT_CODES = {
    errors.Retry.CHANGED: exits.ExitCode.INVALID,
    errors.Retry.IF_IDEMPOTENT: exits.ExitCode.FAILURE,
    errors.Retry.LATER: exits.ExitCode.UNAVAILABLE,
    errors.Retry.NEVER: exits.ExitCode.FAILURE,
}


def main(argv: collections.abc.Sequence[str]) -> int:
    """Run the command in ``argv`` and return the exit code.

    A ``UserError`` is printed on stderr, a line per fault. Any other exception
    is a fault of ours: one line, with its traceback only under ``--debug``.
    """
    arguments = build_parser(argv).parse_args(argv)
    try:
        return int(arguments.run(arguments))
    except exits.UserError as error:
        _report(error.message, arguments.debug)
        return int(error.exit_code)
    except errors.BerylhollowError as error:
        _report(str(error), arguments.debug)
        return int(EXIT_CODES[error.answer.retry])
    except BrokenPipeError:
        # The reader of our output (``| head``) has gone; nobody to tell.
        sys.stderr.close()
        return int(exits.ExitCode.OK)
    except Exception as error:
        _report(f'{type(error).__name__}: {error}', arguments.debug)
        return int(exits.ExitCode.FAILURE)


def _report(message: str, debug: bool) -> None:
    if debug:
        traceback.print_exc()
    for line in message.splitlines():
        print(f'{PROGRAM}: {line}', file=sys.stderr)


def build_parser(
    argv: collections.abc.Sequence[str],
) -> argparse.ArgumentParser:
    """Return the parser, complete for the one command that ``argv`` names.

    The other commands are listed by name and help only. Their modules stay
    unimported: a gateway has no memory to spare for what a report needs.
    """
    parser = _parser(argparse.ArgumentParser, PROGRAM, None)
    parser.description = berylhollow.__doc__
    parser.add_argument(
        '--version',
        action='version',
        version=f'{PROGRAM} {berylhollow.__version__}',
    )
    parser.add_argument(
        '--debug', action='store_true', help='show tracebacks of errors'
    )
    chosen = _chosen(argv)
    subparsers = {(): _subparsers(parser)}
    for command in commands.COMMANDS:
        group = command.words[:-1]
        if group not in subparsers:
            subparsers[group] = _add_group(subparsers[()], group[0])
        _add_command(subparsers[group], command, command is chosen)
    return parser


def _chosen(
    argv: collections.abc.Sequence[str],
) -> commands.Command | None:
    words = tuple(word for word in argv if not word.startswith('-'))
    for command in commands.COMMANDS:
        if words[: len(command.words)] == command.words:
            return command
    return None


def _subparsers(parser):
    return parser.add_subparsers(
        title='commands', metavar='COMMAND', required=True
    )


def _add_group(subparsers, name: str):
    summary = commands.GROUPS[name]
    return _subparsers(_parser(subparsers.add_parser, name, summary))


def _add_command(subparsers, command: commands.Command, chosen: bool) -> None:
    parser = _parser(subparsers.add_parser, command.words[-1], command.help)
    if not chosen:
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


def _parser(factory, name: str, summary: str | None):
    words = {} if summary is None else {'help': summary}
    parser = factory(
        name,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        allow_abbrev=False,
        **words,
    )
    if summary is not None:
        parser.description = f'{summary[0].upper()}{summary[1:]}.'
    else:
        parser.epilog = EXIT_CODES_NOTE
    return parser
