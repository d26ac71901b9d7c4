"""Tests of state charts read from files."""

from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from damaskwind.model.exception import SettingsError
from damaskwind.model.statechart import load_chart, start_machine

CHART = """
[chart]
name = "door"
states = ["open", "closed"]
inputs = ["close", "open_up"]

[[transition]]
from = "open"
input = "close"
to = "closed"
actions = ["note"]
"""


class Owner:
    def __init__(self):
        self.notes = []

    def note(self, text):
        self.notes.append(text)


class StatechartTest(TestCase):
    def load(self, text):
        with TemporaryDirectory() as folder:
            path = Path(folder) / "chart.toml"
            path.write_text(text, encoding="utf-8")
            return load_chart(path)

    def test_transition_runs_its_actions(self):
        owner = Owner()
        machine = start_machine(self.load(CHART), owner)
        self.assertEqual(machine.state, "open")
        self.assertEqual(machine.feed("close", "now"), "closed")
        self.assertEqual(owner.notes, ["now"])

    def test_unlisted_input_is_ignored(self):
        owner = Owner()
        machine = start_machine(self.load(CHART), owner)
        self.assertEqual(machine.feed("open_up"), "open")
        self.assertEqual(owner.notes, [])

    def test_unknown_state_is_refused(self):
        with self.assertRaises(SettingsError):
            self.load(CHART.replace('to = "closed"', 'to = "shut"'))
