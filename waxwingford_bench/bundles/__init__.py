"""Roll-out of bundles over daemons."""
