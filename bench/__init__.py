"""Benchmarks of the scheduler, run by `make measure`."""
