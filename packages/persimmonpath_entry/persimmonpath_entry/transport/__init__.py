"""HTTP connections, logs and metrics."""
