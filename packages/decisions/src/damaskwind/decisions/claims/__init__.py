"""Claims on idempotency keys, granted once by a majority of holders."""
