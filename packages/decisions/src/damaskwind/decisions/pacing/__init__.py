"""The budget for all control traffic of a router, without I/O."""
