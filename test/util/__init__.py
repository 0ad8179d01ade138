"""Tests of ``berylhollow.util``."""
