"""Tests of the control pacer."""
