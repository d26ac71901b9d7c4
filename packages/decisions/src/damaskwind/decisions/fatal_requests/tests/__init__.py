"""Tests of the detection of fatal requests."""
