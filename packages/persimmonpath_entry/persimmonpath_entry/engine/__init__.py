"""The engine of an entry VM: combines decisions, state and transport."""
