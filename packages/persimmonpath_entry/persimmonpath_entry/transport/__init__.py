"""HTTP client and server, clock, logs and metrics."""
