"""Tests of following the configuration."""
