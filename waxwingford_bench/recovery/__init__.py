"""Recovery of a daemon: reading a large domain back."""
