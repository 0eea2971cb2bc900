"""Daemon `persimmond` that runs on entry VMs."""
