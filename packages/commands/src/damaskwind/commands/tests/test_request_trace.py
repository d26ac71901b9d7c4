"""Tests of tracing one request through log lines."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from unittest import TestCase

from damaskwind.commands.operator_client import ExitCode
from damaskwind.commands.request_trace import read_lines, trace_request, trace_text

BINARY = Path(sys.executable).with_name("damaskwind")


def line(time_s, node, event, **fields):
    """Return one log line as a process writes it."""
    table = {"time_s": time_s, "level": "info", "node": node, "event": event, **fields}
    return json.dumps(table).encode() + b"\n"


ENDED = line(
    100.0,
    "r1",
    "request ended",
    request="abc",
    outcome="refused as not run",
    attempts=[["t1", 0, 4.8, 10.2, 3.27, "", "not-run: no connection", 0, 300, None]],
    took_ms=600,
)
LOGS = [
    line(98.0, "r1", "target unreachable", target="t1", address="127.0.0.1:1"),
    line(98.5, "r1", "target unreachable", target="t2", address="127.0.0.1:2"),
    line(99.0, "r2", "target unreachable", target="t1", address="127.0.0.1:1"),
    line(99.2, "r2", "replica lost", host="127.0.0.2"),
    line(99.3, "r1", "replica lost", host="127.0.0.2"),
    ENDED,
    line(90.0, "r1", "replica lost", host="127.0.0.3"),
    line(100.1, "r1", "request ended", request="def", attempts=[["t1"]], took_ms=3),
    line(100.5, "c1", "target left", target="t1"),
]


class TraceTest(TestCase):
    def trace(self, lines, request_id="abc"):
        return trace_request(request_id, read_lines(lines))

    def test_lines_of_targets_and_router_are_found_in_order(self):
        found = self.trace(LOGS)
        self.assertEqual([item.fields["request"] for item in found.request], ["abc"])
        self.assertEqual(
            [(item.node, item.event) for item in found.around],
            [
                ("r1", "target unreachable"),
                ("r2", "target unreachable"),
                ("r1", "replica lost"),
                ("c1", "target left"),
            ],
        )

    def test_order_of_files_does_not_matter(self):
        self.assertEqual(self.trace(LOGS), self.trace(reversed(LOGS)))

    def test_truncated_and_foreign_lines_are_counted_and_ignored(self):
        torn = [b"starting up\n", ENDED[:40], b"\n", b"{}\n", b'{"time_s":"x","event":1}\n']
        found = self.trace([*torn, *LOGS])
        self.assertEqual(found.unreadable, 4)
        self.assertEqual(len(found.around), 4)

    def test_text_names_the_fields_of_each_send(self):
        text = trace_text(self.trace(LOGS))
        self.assertIn("sent: target=t1 rank=0 load=4.8 bound=10.2 load_age_s=3.27", text)
        self.assertIn("-1400  r1  target unreachable  target=t1", text)


class TraceCommandTest(TestCase):
    def run_trace(self, *arguments):
        command = [str(BINARY), "trace", *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=60)

    def test_exit_codes_and_output(self):
        with tempfile.TemporaryDirectory() as folder:
            files = [str(Path(folder) / name) for name in ("r1.log", "rest.log")]
            Path(files[0]).write_bytes(ENDED)
            Path(files[1]).write_bytes(b"".join(LOGS[:5]))
            done = self.run_trace("abc", *files)
            self.assertEqual(done.returncode, ExitCode.OK, done.stderr)
            self.assertIn("replica lost", done.stdout)
            found = json.loads(self.run_trace("abc", *files, "--json").stdout)
            self.assertEqual(found["request"][0]["node"], "r1")
            unknown = self.run_trace("xyz", *files)
            self.assertEqual(unknown.returncode, ExitCode.REFUSED)
            self.assertIn("no line of request 'xyz' in 2 files", unknown.stderr)
            missing = self.run_trace("abc", files[0] + "x")
            self.assertEqual(missing.returncode, ExitCode.BAD_USAGE)
            self.assertIn("No such file", missing.stderr)
        self.assertEqual(self.run_trace("abc").returncode, ExitCode.BAD_USAGE)
