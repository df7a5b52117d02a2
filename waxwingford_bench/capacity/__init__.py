"""Measured cost of a daemon by size of its failure domain."""
