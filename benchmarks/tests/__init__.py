"""Tests of the benchmarks."""
