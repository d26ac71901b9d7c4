"""The router: the process that forwards requests from callers to targets."""
