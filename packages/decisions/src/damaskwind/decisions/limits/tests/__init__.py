"""Tests of limits."""
