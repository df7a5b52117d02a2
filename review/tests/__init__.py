"""Stand-ins of the platform for the scripts of the review."""
