"""Circuit state and outlier ejection of targets."""
