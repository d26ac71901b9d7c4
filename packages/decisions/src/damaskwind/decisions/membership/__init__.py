"""Which routers and targets there are, agreed by gossip; pure."""
