"""Tests of following."""
