"""Send the orders of the log to their targets."""
