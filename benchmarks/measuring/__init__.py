"""Measure a whole deployment: load, reuse, skew, control traffic, promises."""
