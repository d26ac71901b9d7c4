"""The process between callers and targets."""
