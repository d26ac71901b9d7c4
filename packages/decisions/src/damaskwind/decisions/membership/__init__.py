"""Membership of routers and targets by gossip; free of I/O."""
