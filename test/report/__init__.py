"""Tests of the report on service-level burn."""
