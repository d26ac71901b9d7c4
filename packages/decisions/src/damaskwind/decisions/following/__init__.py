"""Decisions, without I/O, on how routers follow the configuration of the replicas."""
