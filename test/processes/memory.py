"""Memory of daemon processes."""

from support import BUILD

MIB = 1024 * 1024


def own_share():
    """Returns the share of its memory that is the daemon's own: the address sanitizer's shadow adds an eighth."""
    return 8 / 9 if b"__asan_init" in (BUILD / "egretlatch").read_bytes() else 1


def resident(process):
    """Returns the peak of the resident memory of a process, in bytes."""
    with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
        return next(int(line.split()[1]) * 1024 for line in status if line.startswith("VmHWM"))
