"""Entry point of the ``berylhollow`` program."""

import sys

from berylhollow import ui
from berylhollow.util import startup


def main() -> int:
    """Run the command given on the command line; return its exit code."""
    arguments = sys.argv[1:]
    startup.ignore_hangups(arguments)
    startup.speed_up_imports(arguments)
    return ui.main(arguments)


if __name__ == '__main__':
    sys.exit(main())
