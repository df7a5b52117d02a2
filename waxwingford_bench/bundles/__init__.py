"""Benchmarks of bundle rollout."""
