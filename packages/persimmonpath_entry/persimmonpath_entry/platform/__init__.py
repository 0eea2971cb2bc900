"""Clients, wire formats and settings of the platform."""
