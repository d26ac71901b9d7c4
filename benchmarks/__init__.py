"""Benchmark programs; some of them start processes."""
