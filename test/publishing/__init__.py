"""Tests of ``berylhollow.publishing``."""
