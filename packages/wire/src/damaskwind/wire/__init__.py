"""Protocol buffers and grpclib services between the system's own processes."""
