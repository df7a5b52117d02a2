"""Benchmark of colocation policies in virtual time."""
