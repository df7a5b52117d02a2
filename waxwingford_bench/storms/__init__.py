"""Storms: recovery and load of control at the size of the aim."""
