"""Find the route and the client account of a request."""
