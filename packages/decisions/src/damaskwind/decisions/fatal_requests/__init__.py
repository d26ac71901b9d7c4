"""Detection of requests that crash targets, and whether a request may be sent; without I/O."""
