"""Bound the bytes that a router holds for its callers and targets, and decide what to give up."""
