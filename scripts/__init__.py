"""Scripts that the Makefile runs."""
