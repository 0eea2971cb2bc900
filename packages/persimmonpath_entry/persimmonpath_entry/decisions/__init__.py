"""Scheduling decisions as functions without I/O; the caller passes the time."""
