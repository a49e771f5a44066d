"""Memory of daemon processes."""

import os
import unittest.mock

from support import BUILD

MIB = 1024 * 1024


def without_quarantine():
    """Returns a context in which daemons start whose address sanitizer, if they have one, keeps back no freed memory: it is not theirs."""
    return unittest.mock.patch.dict(os.environ, {"ASAN_OPTIONS": "quarantine_size_mb=1"})


def own_share():
    """Returns the share of its memory that is the daemon's own: the address sanitizer's shadow adds an eighth."""
    return 8 / 9 if b"__asan_init" in (BUILD / "egretlatch").read_bytes() else 1


def resident(process):
    """Returns the peak of the resident memory of a process, in bytes."""
    with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
        return next(int(line.split()[1]) * 1024 for line in status if line.startswith("VmHWM"))
