"""Tests of berylhollow; the modules mirror those of the package."""
