"""Simulate load surges: queueing, admission and placement in front of modelled engines."""
