"""Tests of placement."""
