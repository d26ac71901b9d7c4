"""Tests of encoding, checking and changing configurations."""

import math
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from damaskwind.model.configuration import (
    ClientAccount,
    Configuration,
    Model,
    ModelGrant,
    ModelVersion,
    OperatorKey,
    Policy,
    PriorityClass,
    Service,
    ServiceRoute,
)
from damaskwind.model.configuration_change import (
    ConfigurationChange,
    apply_change,
    change_between,
    change_from_table,
    change_to_table,
    check_change,
    decode_change,
    encode_change,
)
from damaskwind.model.configuration_checks import check_configuration
from damaskwind.model.configuration_codec import (
    configuration_from_table,
    decode_configuration,
    encode_configuration,
    read_configuration_file,
    to_table,
)
from damaskwind.model.exception import ConfigurationError

HASH = "0123456789abcdef" * 4
ROUTES = (
    ServiceRoute("/registers", ("GET",), True, 5.0),
    ServiceRoute("/classifications", ("POST",), False, 30.0),
)
SOUND = Configuration(
    revision=7,
    accounts={
        "clerks": ClientAccount(
            "clerks",
            (HASH,),
            "interactive",
            10,
            500.0,
            (ModelGrant("chat", "v1", ("tags",)),),
            ("inventory-api",),
        )
    },
    priority_classes={"interactive": PriorityClass("interactive", 0, 4)},
    models={"chat": Model("chat", "pool", "v1", (ModelVersion("v1", ("tags",)),))},
    services={
        "pool": Service("pool", "engine"),
        "inventory-api": Service("inventory-api", "service", ROUTES),
    },
    operators={"mei": OperatorKey("mei", HASH[::-1], ("planner", "confirmer"))},
    policy=Policy(load_factor=1.5),
)

# Each case: where in the table to write, what, and a part of the expected mistake.
MISTAKES = (
    (("accounts", "clerks", "priority_class"), "gone", "no priority class 'gone'"),
    (("accounts", "clerks", "services"), ["gone"], "no service 'gone'"),
    (("accounts", "clerks", "services"), ["pool", "pool"], "stands twice"),
    (("accounts", "clerks", "models", 0, "model"), "gone", "no model 'gone'"),
    (("accounts", "clerks", "models", 0, "version"), "v9", "no version of 'chat' 'v9'"),
    (("accounts", "clerks", "models", 0, "adapters"), ["x"], "no adapter of 'chat' 'x'"),
    (("accounts", "clerks", "key_hashes"), ["raw key"], "expected a SHA-256"),
    (("accounts", "clerks", "key_hashes"), [HASH.upper()], "expected a SHA-256"),
    (("accounts", "clerks", "key_hashes"), [HASH[::-1]], "has the same key as operators.mei"),
    (("accounts", "clerks", "max_concurrent_requests"), 0, "expected 1 to"),
    (("accounts", "clerks", "max_concurrent_requests"), True, "Expected `int`"),
    (("accounts", "clerks", "max_tokens_per_s"), math.nan, "expected 1 to"),
    (("accounts", "clerks", "max_tokens_per_s"), "many", "Expected `float`"),
    (("accounts", "clerks", "name"), "others", "differs from the name"),
    (("accounts", "clerks", "key"), "x", "unknown key"),
    (("accounts", "two words"), to_table(SOUND.accounts["clerks"]), "a name is malformed"),
    (("priority_classes", "interactive", "weight"), 0, "weight: expected 1 to"),
    (("priority_classes", "b"), {"rank": 0, "weight": 1}, "same rank as 'interactive'"),
    (("models", "chat", "versions", 0), ["v1"], "versions[0]: expected a table"),
    (("models", "chat", "service"), "gone", "no service 'gone'"),
    (("models", "chat", "service"), "inventory-api", "not a pool of engines"),
    (("models", "chat", "default_version"), "v9", "not among the versions"),
    (("models", "chat", "versions"), [], "expected at least one"),
    (("models", "chat", "versions", 0, "adapter"), [], "did you mean 'adapters'?"),
    (("services", "pool", "kind"), "plain", "kind: expected one of"),
    (("services", "pool", "routes"), [to_table(ROUTES[0])], "engines have none"),
    (("services", "inventory-api", "routes", 0, "path_prefix"), "x", "starts with '/'"),
    (("services", "inventory-api", "routes", 0, "methods"), ["get"], "expected one of GET"),
    (("services", "inventory-api", "routes", 0, "timeout_s"), math.inf, "timeout_s: expected"),
    (("services", "inventory-api", "routes"), [to_table(ROUTES[0])] * 2, "same path prefix"),
    (("operators", "mei", "roles"), ["confirmer"], "must have the role 'planner'"),
    (("operators", "mei", "roles"), ["king"], "expected one of viewer"),
    (("operators", "bootstrap"), {"key_hash": HASH, "roles": ["viewer"]}, "is reserved"),
    (("policy", "load_factor"), 0.9, "load_factor: expected 1 to 10"),
    (("policy", "load_facto"), 1.2, "did you mean 'load_factor'?"),
    (("revision",), -1, "revision: expected at least 0"),
    (("revision",), "7", "revision: expected a whole number"),
    (("acounts",), {}, "acounts: unknown key"),
    (("models",), [], "models: expected a table"),
)


def table_with(path, value):
    """Return the valid table with the value at one path overwritten."""
    table = to_table(SOUND)
    parent = table
    for step in path[:-1]:
        parent = parent[step]
    parent[path[-1]] = value
    return table


class ConfigurationCodecTest(TestCase):
    def mistakes_of(self, table):
        with self.assertRaises(ConfigurationError) as caught:
            configuration_from_table(table)
        return caught.exception.mistakes

    def test_a_valid_configuration_round_trips(self):
        self.assertEqual(check_configuration(SOUND), [])
        payload = encode_configuration(SOUND)
        self.assertEqual(decode_configuration(payload), SOUND)
        self.assertEqual(encode_configuration(decode_configuration(payload)), payload)

    def test_each_mistake_is_reported(self):
        for path, value, part in MISTAKES:
            with self.subTest(path=path, value=value):
                mistakes = self.mistakes_of(table_with(path, value))
                self.assertTrue(any(part in mistake for mistake in mistakes), mistakes)

    def test_all_mistakes_are_reported_at_once(self):
        table = table_with(("policy", "load_factor"), 99)
        table["models"]["chat"]["default_version"] = "v9"
        table["accounts"]["clerks"]["max_concurrent_requests"] = 0
        self.assertEqual(len(self.mistakes_of(table)), 3)

    def test_values_are_not_repeated(self):
        table = table_with(("accounts", "clerks", "key_hashes"), ["dw-secret key"])
        table["accounts"]["clerks"]["priority_class"] = "dw-secret key"
        self.assertNotIn("secret", str(self.mistakes_of(table)))

    def test_malformed_bytes_are_refused(self):
        for payload in (b"", b"{", b"[]", b"\xff", b'{"accounts":{"a":1}}'):
            with self.assertRaises(ConfigurationError):
                decode_configuration(payload)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
            lambda inner: st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(("accounts", "models", "a", "versions", "policy", "name")), inner
            ),
        )
    )
    def test_any_table_is_taken_or_refused_cleanly(self, table):
        try:
            configuration_from_table(table)
        except ConfigurationError as error:
            self.assertTrue(error.mistakes)

    def test_a_file_is_read_and_its_mistakes_are_reported(self):
        with TemporaryDirectory() as folder:
            path = Path(folder) / "fixed.toml"
            path.write_text('[services.pool]\nkind = "engine"\n', encoding="utf-8")
            self.assertEqual(read_configuration_file(path).services["pool"].kind, "engine")
            for text in ("[", '[services.pool]\nkin = "engine"\n'):
                path.write_text(text, encoding="utf-8")
                with self.assertRaises(ConfigurationError):
                    read_configuration_file(path)
            with self.assertRaises(ConfigurationError):
                read_configuration_file(Path(folder) / "none.toml")


class ConfigurationChangeTest(TestCase):
    def test_a_change_round_trips_and_leaves_the_old_configuration_unchanged(self):
        change = ConfigurationChange(
            {"services": {"edge": Service("edge", "service")}}, {"accounts": ("clerks",)}, Policy()
        )
        self.assertEqual(change_from_table(change_to_table(change)), change)
        before = encode_configuration(SOUND)
        after = apply_change(SOUND, change)
        self.assertEqual(encode_configuration(SOUND), before)
        self.assertEqual((after.revision, after.accounts, after.policy), (8, {}, Policy()))
        self.assertEqual(sorted(after.services), ["edge", "inventory-api", "pool"])

    def test_a_change_between_two_configurations_leads_from_one_to_the_other(self):
        other = apply_change(
            SOUND, change_from_table({"policy": {}, "delete": {"accounts": ["clerks"]}})
        )
        empty = Configuration(revision=SOUND.revision)
        for before, after in ((SOUND, other), (other, SOUND), (SOUND, empty), (empty, SOUND)):
            change = decode_change(encode_change(change_between(before, after)))
            reached = apply_change(before, change)._replace(revision=after.revision)
            self.assertEqual(encode_configuration(reached), encode_configuration(after))

    def test_deleting_a_referenced_or_unknown_object_is_a_mistake(self):
        for kind, name, part in (
            ("priority_classes", "interactive", "no priority class"),
            ("services", "pool", "models.chat.service"),
            ("models", "chat", "no model 'chat'"),
            ("operators", "mei", "the last operator"),
            ("accounts", "none", "no such object 'none'"),
        ):
            change = change_from_table({"delete": {kind: [name]}})
            mistakes = check_change(SOUND, change)
            self.assertTrue(any(part in mistake for mistake in mistakes), (kind, mistakes))

    def test_intents_of_the_wrong_form_are_refused(self):
        pool = {"pool": {"kind": "engine"}}
        for table in (
            None,
            {},
            {"delete": {}},
            {"delete": {"accounts": "clerks"}},
            {"delete": {"policy": ["x"]}},
            {"services": pool, "delete": {"services": ["pool"]}},
            {"revision": 3},
            {"services": pool, "extra": 1},
        ):
            with self.subTest(table=table), self.assertRaises(ConfigurationError):
                change_from_table(table)
