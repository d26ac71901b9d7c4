"""Tests of admission."""
