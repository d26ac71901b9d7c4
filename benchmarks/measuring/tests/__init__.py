"""Tests of the measure."""
