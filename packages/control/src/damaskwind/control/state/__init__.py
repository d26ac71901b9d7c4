"""The replicated state: configuration, plans, outcomes, orders; deterministic and pure."""
