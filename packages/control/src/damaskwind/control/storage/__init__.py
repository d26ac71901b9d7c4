"""The data folder of a replica: its identity, write-ahead log and snapshots."""
