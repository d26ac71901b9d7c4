"""Tests of held bytes."""
