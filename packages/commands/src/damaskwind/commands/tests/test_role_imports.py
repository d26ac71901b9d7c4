"""Tests that each role imports no unused packages, which would cost memory."""

import subprocess
import sys
import unittest

NEEDLESS = ("cryptography", "hypothesis", "openai", "OpenSSL._util", "damaskwind.standins")
PROGRAM = """
import importlib, sys
import damaskwind.commands.daemon
damaskwind.commands.daemon.install_reactor()
importlib.import_module(sys.argv[1])
print(*sys.modules, sep="\\n")
"""


class RoleImportsTest(unittest.TestCase):
    def loaded(self, module: str) -> set[str]:
        command = [sys.executable, "-c", PROGRAM, module]
        done = subprocess.run(command, capture_output=True, text=True, check=True, timeout=60)
        return set(done.stdout.split())

    def test_roles_load_no_unused_package(self):
        for role in ("control", "router"):
            loaded = self.loaded(f"damaskwind.{role}.process")
            self.assertIn("klein", loaded)
            self.assertEqual(loaded.intersection(NEEDLESS), set(), role)

    def test_control_loads_nothing_of_the_router_and_the_other_way_round(self):
        for role, other in (("control", "router"), ("router", "control")):
            loaded = self.loaded(f"damaskwind.{role}.process")
            self.assertNotIn(f"damaskwind.{other}.process", loaded)


if __name__ == "__main__":
    unittest.main()
