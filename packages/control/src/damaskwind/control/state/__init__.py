"""The replicated state: configuration, plans, outcomes and orders; deterministic and pure."""
