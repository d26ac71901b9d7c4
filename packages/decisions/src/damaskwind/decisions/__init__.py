"""Placement, load bound, limits, retries, claims, membership, replication; pure."""
