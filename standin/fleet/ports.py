"""Ports for processes that are started later, given to nobody else until then."""

import random
import socket

# Ports are given from blocks. A daemon takes its ports some time after they were chosen, so until then they look free, and
# another VM, or a fleet of another process, would get one of them again: the later of the two daemons cannot listen and
# never joins. So no port is given twice, and whoever gives from a block holds its first port as long as it lives.
BLOCK = 32
_claims = []
_unused = []


def claim_block():
    """Takes a block of ports that no other process gives from, below those of outgoing connections.

    A port of that range may be taken by a connection between its choice here and the daemon that is to listen on it.
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
    """Gives ports that nobody listens on and that were not given before."""
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
