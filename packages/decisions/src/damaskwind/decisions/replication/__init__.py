"""The pure core of the replicated log: roles, votes, replication, membership."""
