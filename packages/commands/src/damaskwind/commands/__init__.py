"""The two binaries: damaskwindd and damaskwind."""
