"""The imperative shell around the core of the replicated log.

It connects the core to the network, the disk, timers and the state machine.
"""
