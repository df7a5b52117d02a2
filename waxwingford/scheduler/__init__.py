"""The scheduler daemon: assembly, life cycle, logs, readiness."""
