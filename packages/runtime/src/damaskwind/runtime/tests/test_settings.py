"""Tests of the checks of a settings file."""

from unittest import TestCase

from damaskwind.model.exception import SettingsError
from damaskwind.runtime.settings import check_settings

NODE = {
    "node_id": "router-1",
    "cluster": "test",
    "cluster_key": "secret",
    "region": "kl-central",
    "failure_domain": "bangsar-hall",
}
ROUTER = {
    "http_address": "127.0.0.1:0",
    "datagram_address": "127.0.0.1:0",
    "peer_address": "127.0.0.1:0",
    "announce_key": "announce",
}


class CheckSettingsTest(TestCase):
    def mistakes(self, raw):
        with self.assertRaises(SettingsError) as caught:
            check_settings(raw)
        return caught.exception.mistakes

    def test_valid_settings_get_their_defaults(self):
        settings = check_settings({"node": NODE, "router": ROUTER})
        self.assertEqual(settings.router.drain_delay_s, 5.0)
        self.assertIsNone(settings.control)

    def test_all_mistakes_are_reported_at_once(self):
        router = {**ROUTER, "http_adress": "x", "drain_delay_s": "soon"}
        del router["announce_key"]
        mistakes = self.mistakes({"node": NODE, "router": router, "rooter": {}})
        self.assertEqual(len(mistakes), 4, mistakes)
        joined = "\n".join(mistakes)
        self.assertIn("did you mean 'http_address'?", joined)
        self.assertIn("router.announce_key: missing", joined)
        self.assertIn("router.drain_delay_s: Expected `float`, got `str`", joined)
        self.assertIn("rooter: unknown table", joined)

    def test_addresses_and_ranges_are_checked(self):
        router = {**ROUTER, "seeds": ["nowhere"], "control_bytes_per_s": -1}
        mistakes = self.mistakes({"node": NODE, "router": router})
        self.assertIn("router.seeds[0]: expected IP:port, got 'nowhere'", mistakes)
        self.assertTrue(any("control_bytes_per_s" in mistake for mistake in mistakes))

    def test_wildcard_as_an_advertised_address_is_refused(self):
        router = {**ROUTER, "datagram_address": "0.0.0.0:7000"}
        self.assertEqual(
            self.mistakes({"node": NODE, "router": router}),
            ["router.datagram_address: expected the IP number that others use, got '0.0.0.0'"],
        )

    def test_settings_without_a_role_are_refused(self):
        self.assertIn(
            "router or control: one of the two tables is needed", self.mistakes({"node": NODE})
        )
