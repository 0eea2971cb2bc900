"""Tests of the entry VM on the platform."""
