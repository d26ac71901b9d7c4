"""Limit the request rate that all routers together send to cold targets."""
