"""The data folder of a replica: identity, write-ahead log, snapshots."""
