"""Tests of what is remembered of the versions that began streams."""
