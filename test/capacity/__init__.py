"""Tests of the measurements of capacity."""
