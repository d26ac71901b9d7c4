"""The shell around the replicated log's core: network, disk, timers, state machine."""
