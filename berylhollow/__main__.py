"""Entry point of the program ``berylhollow``."""

import sys

from berylhollow import ui
from berylhollow.util import startup


def main() -> int:
    """Run the command that the command line names; return its exit code."""
    startup.hasten()
    return ui.main(sys.argv[1:])


if __name__ == '__main__':
    sys.exit(main())
