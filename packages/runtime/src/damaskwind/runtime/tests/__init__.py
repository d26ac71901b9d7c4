"""Tests of the runtime."""
