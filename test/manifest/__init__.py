"""Tests of ``berylhollow.manifest``."""
