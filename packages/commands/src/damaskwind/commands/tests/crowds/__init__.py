"""Crowds of clients that don't behave, played against the real daemons one at a time."""
