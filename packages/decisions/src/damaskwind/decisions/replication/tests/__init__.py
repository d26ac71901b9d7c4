"""Tests of the replicated log."""
