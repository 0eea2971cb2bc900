"""Measures the memory of a process and what the kernel holds for it."""

import os

MB = 1 << 20
# State of a listening socket in /proc/net/tcp.
LISTENING = "0A"


def read_resident_mb(pid):
    """Returns the resident memory of a process."""
    with open(f"/proc/{pid}/statm") as status:
        pages = int(status.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MB


def read_peak_mb(pid):
    """Returns the highest resident memory of a process so far."""
    with open(f"/proc/{pid}/status") as status:
        for line in status:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    raise ValueError(f"process {pid}: no VmHWM")


def measure_unread_mb(ports):
    """Returns what the kernel holds for the connections of local ports."""
    size = 0
    with open("/proc/net/tcp") as table:
        next(table)
        for line in table:
            fields = line.split()
            port = int(fields[1].rpartition(":")[2], 16)
            if port in ports and fields[3] != LISTENING:
                unsent, _, unread = fields[4].partition(":")
                size += int(unsent, 16) + int(unread, 16)
    return size / MB
