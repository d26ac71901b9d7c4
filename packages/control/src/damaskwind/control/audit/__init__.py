"""The audit trail: entries chained by hash, stored with the replicated state."""
