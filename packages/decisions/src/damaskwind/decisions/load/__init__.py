"""How loaded each target is now, estimated from lagged reports; pure."""
