"""Tools for development; no part of the program."""
