"""Bounds of values that come from outside and are passed on between processes."""

__all__ = ["MAX_INTEGER"]

# Messages between processes carry integers of 64 bits, and JSON those of any size. A larger one
# that is accepted can't be encoded, so that everything that is sent with it is lost as well.
MAX_INTEGER = 2**63 - 1
