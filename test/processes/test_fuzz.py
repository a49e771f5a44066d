"""Runs the fuzzer of all that reads bytes from outside, on a fixed seed."""

import subprocess
import unittest

from support import BUILD, ROOT


class Fuzz(unittest.TestCase):
    def test_no_input_from_outside_ends_the_process(self):
        done = subprocess.run([str(BUILD / "test/egretlatch-fuzz"), "--corpus", str(ROOT / "test/fuzz/corpus")], capture_output=True, text=True)
        self.assertEqual(0, done.returncode, (done.stdout[-300:], done.stderr[-2000:]))
