"""Emulator, load tool, benchmarks and capacity slopes."""
