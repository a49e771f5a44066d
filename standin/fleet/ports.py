"""Reserves ports for processes that start later."""

import random
import socket

# Ports are allocated from blocks. A daemon binds its ports some time after they were chosen; until then they look free, and
# another VM, or the fleet of another process, could be given the same one: the later daemon cannot listen and never joins.
# So no port is allocated twice, and the process that owns a block keeps its first port bound until the process exits.
BLOCK = 32
_claims = []
_unused = []


def claim_block():
    """Claims a block of ports that no other process allocates from, below the range of outgoing connections.

    A port of that range could be taken by a connection after it was chosen here and before the daemon listens on it.
    """
    while True:
        first = random.randrange(10000, 32000, BLOCK)
        claim = socket.socket()
        try:
            claim.bind(("127.0.0.1", first))
        except OSError:
            claim.close()
            continue
        _claims.append(claim)
        _unused.extend(range(first + 1, first + BLOCK))
        return


def free_ports(count):
    """Returns `count` ports that nothing listens on and that were not returned before."""
    ports = []
    while len(ports) < count:
        if not _unused:
            claim_block()
        port = _unused.pop()
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports
