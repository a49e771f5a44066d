"""Processor time of processes, as the kernel counts it."""

import os
import pathlib

TICKS = os.sysconf("SC_CLK_TCK")


def processor_seconds(pid):
    """Gives user and system time of a process, all of its threads, in seconds."""
    # The name of the program, in brackets, may hold blanks.
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS
