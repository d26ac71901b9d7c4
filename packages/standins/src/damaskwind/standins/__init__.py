"""Small stand-ins of what the system meets: engine, service, faulty network."""
