"""Measure a whole deployment: cache reuse, load skew, control traffic and guarantees."""
