"""Command-line client `persimmonctl` for callers and operators."""
