"""Scheduler daemon: assembly, life cycle, logging, readiness."""
