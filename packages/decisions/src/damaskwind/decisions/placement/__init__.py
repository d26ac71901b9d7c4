"""Where a chat goes: ranks, bounds, spills, and the policies to compare."""
