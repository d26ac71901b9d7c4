"""Tests of health."""
