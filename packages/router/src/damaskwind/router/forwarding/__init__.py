"""Forward requests by a published configuration: the lean path of a router."""
