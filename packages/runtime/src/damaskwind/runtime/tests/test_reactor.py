"""Tests of the reactor's clock in a process whose wall clock jumps."""

import subprocess
import sys
from unittest import TestCase

PROGRAM = """
import time
from damaskwind.runtime.reactor import install_reactor

reactor = install_reactor()
fired = []
before_s = reactor.seconds()
reactor.callLater(0.05, lambda: (fired.append(True), reactor.stop()))
wall_s = time.time()
time.time = lambda: wall_s + 3600.0
import twisted.python.runtime
twisted.python.runtime.seconds = time.time
print("jumped", reactor.seconds() - before_s > 1000.0)
time.time = lambda: wall_s - 3600.0
print("monotonic", reactor.seconds() >= before_s)
reactor.run(installSignalHandlers=False)
print("fired", bool(fired))
from twisted.internet import reactor as installed
print("installed", installed is reactor)
from damaskwind.runtime.clock import read_clock
print("same clock", abs(installed.seconds() - read_clock()) < 5.0)
"""


class ReactorTest(TestCase):
    def test_timers_and_leases_do_not_follow_the_wall_clock(self):
        command = [sys.executable, "-c", PROGRAM]
        done = subprocess.run(command, capture_output=True, text=True, timeout=60)
        expected = ["jumped False", "monotonic True", "fired True"]
        expected += ["installed True", "same clock True"]
        self.assertEqual(done.stdout.split("\n")[:-1], expected, done.stderr)
