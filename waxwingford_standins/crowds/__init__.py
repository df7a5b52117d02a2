"""Tests with crowds of clients, each run apart from other load."""
