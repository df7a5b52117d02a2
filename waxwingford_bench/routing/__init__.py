"""Cost of routing."""
