"""Simulated surges: the decisions on waiting, rejecting and placing against modelled engines."""
