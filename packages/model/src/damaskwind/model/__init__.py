"""Typed messages and errors that every other package speaks; pure."""
