"""Decisions without input, output or a clock of their own."""
