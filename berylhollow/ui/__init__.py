"""The command line: one module per command, each imported only when run."""

from berylhollow.ui import _program
from berylhollow.util import exits

UserError = exits.UserError
main = _program.main
build_parser = _program.build_parser
