"""Estimates of each target's current load from lagged reports, without I/O."""
