"""Capacity at the two-year size, from measured slopes."""
