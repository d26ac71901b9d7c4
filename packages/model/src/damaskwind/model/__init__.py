"""Typed messages and errors that all other packages use; pure."""
