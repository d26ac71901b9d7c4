"""Circuit breakers, outlier ejection and slow-target detection."""
