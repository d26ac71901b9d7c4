"""Simulated counterparts of the system: engines, services, clocks and faulty networks."""
