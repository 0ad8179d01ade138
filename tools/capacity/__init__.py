"""Measure what each part of the load costs, and fill in docs/CAPACITY.md."""
