"""Which software version of a service began each stream; without I/O."""
