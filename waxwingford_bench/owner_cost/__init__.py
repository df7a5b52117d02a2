"""Measured processor time of the owner of a shard."""
