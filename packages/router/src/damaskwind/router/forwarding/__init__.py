"""Forward requests by a published configuration: the lean data path of a router."""
