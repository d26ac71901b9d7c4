"""Programs that measure; these may start processes."""
