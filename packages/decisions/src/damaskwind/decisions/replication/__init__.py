"""Core of the replicated log, without I/O: roles, votes, replication, membership."""
