"""Tests of claims."""
