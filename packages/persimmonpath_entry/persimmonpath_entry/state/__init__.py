"""The state of an entry VM: submissions, workers and configuration."""
