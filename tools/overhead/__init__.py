"""Measure our two hops against a bare two-hop pass-through."""
