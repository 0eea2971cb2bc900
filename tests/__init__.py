"""Tests, fault injection runs and stand-ins."""
