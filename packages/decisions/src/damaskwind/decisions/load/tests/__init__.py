"""Tests of the load estimate."""
