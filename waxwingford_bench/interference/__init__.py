"""Emulator of backend servers whose tasks interfere, driven by the scheduler's engine."""
