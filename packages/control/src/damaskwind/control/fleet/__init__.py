"""Control replicas of a fleet: target membership and published configuration documents."""
