"""Stand-ins for the platform, served over HTTP."""
