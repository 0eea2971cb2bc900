"""Scripts of the Makefile."""
