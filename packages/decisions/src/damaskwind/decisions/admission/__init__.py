"""The queue of requests that wait for a target, by priority class."""
