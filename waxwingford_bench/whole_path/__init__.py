"""End-to-end latencies of a deployment of real processes."""
