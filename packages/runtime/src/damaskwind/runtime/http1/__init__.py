"""HTTP/1.1 over Twisted's transports, parsed and written by h11."""
