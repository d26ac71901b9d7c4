"""Tests of the model."""
