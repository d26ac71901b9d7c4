"""Tests of sending orders to targets."""
