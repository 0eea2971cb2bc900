"""The command for callers and operators."""
