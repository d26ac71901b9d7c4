"""Tests of the membership service."""
