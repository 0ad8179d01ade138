"""Helpers that do not depend on the process roles."""
