"""Tests of ``berylhollow.configuration``."""
