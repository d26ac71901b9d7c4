"""Tests of the client of the claim holders."""
