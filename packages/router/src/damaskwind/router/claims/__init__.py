"""The router's client of the claim holders."""
