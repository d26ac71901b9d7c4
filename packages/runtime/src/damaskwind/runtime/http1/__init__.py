"""HTTP/1.1 over asyncio's transports, parsed and written by h11."""
