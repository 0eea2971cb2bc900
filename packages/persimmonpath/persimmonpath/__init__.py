"""Library of a cluster scheduler for heterogeneous work."""
