"""Tests of the daemon's command line in a separate process."""

import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

DAEMON = Path(sys.executable).with_name("damaskwindd")
GOOD = """
[node]
node_id = "r1"
cluster = "c"
cluster_key = "k"
region = "kl-central"
failure_domain = "bangsar-hall"

[router]
http_address = "127.0.0.1:0"
datagram_address = "127.0.0.1:0"
peer_address = "127.0.0.1:0"
announce_key = "a"
"""


class CheckCommandTest(TestCase):
    def run_check(self, text):
        with TemporaryDirectory() as folder:
            file = Path(folder) / "settings.toml"
            file.write_text(text, encoding="utf-8")
            command = [str(DAEMON), "check", str(file)]
            return subprocess.run(command, capture_output=True, text=True, timeout=30)

    def test_good_file(self):
        done = self.run_check(GOOD)
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("fine (router)", done.stdout)

    def test_each_mistake_has_a_line_and_the_exit_code_is_two(self):
        bad = GOOD.replace("announce_key", "anounce_key").replace('"127.0.0.1:0"', '"here"', 1)
        done = self.run_check(bad)
        self.assertEqual(done.returncode, 2)
        self.assertIn("did you mean 'announce_key'?", done.stderr)
        self.assertIn("router.http_address", done.stderr)

    def test_a_role_without_its_table_is_bad_usage(self):
        with TemporaryDirectory() as folder:
            file = Path(folder) / "settings.toml"
            file.write_text(GOOD, encoding="utf-8")
            command = [str(DAEMON), "control", str(file)]
            done = subprocess.run(command, capture_output=True, text=True, timeout=30)
        self.assertEqual(done.returncode, 2)
        self.assertIn("control: missing table", done.stderr)
