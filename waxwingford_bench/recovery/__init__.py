"""Recovery of a daemon that restores the state of a large failure domain."""
