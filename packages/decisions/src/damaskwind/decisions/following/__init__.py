"""How routers follow what the replicas hold; pure."""
