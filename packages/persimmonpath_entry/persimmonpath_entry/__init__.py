"""The entry VM: accepts submissions and places their tasks on workers."""
