"""Test of the demonstration, run through its command line."""

import re
import subprocess
import sys
from pathlib import Path
from unittest import TestCase

DAEMON = Path(sys.executable).with_name("damaskwindd")
CACHED = re.compile(r"(\d+) of (\d+) prompt tokens were cached")


class DemonstrationTest(TestCase):
    def test_a_returning_chat_finds_its_cache(self):
        command = [str(DAEMON), "demo", "--once"]
        done = subprocess.run(command, capture_output=True, text=True, timeout=60)
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        turns = [(int(cached), int(prompt)) for cached, prompt in CACHED.findall(done.stdout)]
        self.assertEqual(len(turns), 3, done.stdout)
        self.assertEqual(turns[0][0], 0)
        self.assertGreater(turns[1][0], 0)
        self.assertGreater(turns[2][0], turns[1][0])
