"""Benchmarks of request routing."""
