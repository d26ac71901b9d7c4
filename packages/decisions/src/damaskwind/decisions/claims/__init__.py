"""Claims on idempotency keys, each granted at most once by a majority of holders."""
