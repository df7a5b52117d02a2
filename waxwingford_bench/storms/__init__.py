"""Recovery and control load after faults of a whole failure domain."""
