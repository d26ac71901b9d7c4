"""Requests under which targets end: how they are known again, and who may not be sent; pure."""
