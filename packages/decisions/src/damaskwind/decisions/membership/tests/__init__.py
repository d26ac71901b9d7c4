"""Tests of the membership core."""
