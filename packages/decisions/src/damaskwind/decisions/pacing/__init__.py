"""The one budget for all control traffic of a router; pure."""
