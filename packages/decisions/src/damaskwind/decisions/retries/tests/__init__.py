"""Tests of retries."""
