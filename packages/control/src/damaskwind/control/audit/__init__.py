"""The audit trail: entries chained by hash, kept with the replicated state."""
