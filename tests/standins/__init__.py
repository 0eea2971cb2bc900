"""Stand-ins for the platform and for workers, served over HTTP."""
