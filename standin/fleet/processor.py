"""Processor time of processes, from the kernel's accounting."""

import os
import pathlib

TICKS = os.sysconf("SC_CLK_TCK")


def processor_seconds(pid):
    """Returns the user and system time of all threads of a process, in seconds."""
    # The program name, in parentheses, may contain spaces.
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS
