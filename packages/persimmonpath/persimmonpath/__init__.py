"""Coordination parts of a cluster scheduler for heterogeneous work."""
