"""What puts decisions, state and transport together."""
