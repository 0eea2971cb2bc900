"""The daemon that runs on entry VMs."""
