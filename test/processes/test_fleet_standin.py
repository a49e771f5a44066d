"""The stand-in of the platform itself: what the tests that use it rest on."""

import sys
import unittest

from support import ROOT

sys.path.insert(0, str(ROOT / "standin"))

from fleet.fleet import PORTS_A_VM, free_ports  # noqa: E402


class Ports(unittest.TestCase):
    def test_no_port_is_given_twice(self):
        # Two VMs of one fleet were told to answer readiness probes on one port. The second daemon could not listen and
        # ended; the first answered the probes of both, so the fleet counted as ready and never came together. Chosen at
        # random without memory, 36 ports of 22,000 hold one twice in 3 fleets of 100.
        given = [port for _ in range(200) for port in free_ports(PORTS_A_VM)]
        self.assertEqual(len(given), len(set(given)))
