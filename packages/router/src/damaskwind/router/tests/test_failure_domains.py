"""Tests of the failure domains that are derived from a router's settings."""

from unittest import TestCase

from damaskwind.router.failure_domains import all_failure_domains, near_failure_domains
from damaskwind.runtime.settings import check_settings

NODE = {
    "node_id": "r1",
    "cluster": "c",
    "cluster_key": "k",
    "region": "kl-central",
    "failure_domain": "a",
}
ROUTER = {
    "http_address": "127.0.0.1:0",
    "datagram_address": "127.0.0.1:0",
    "peer_address": "127.0.0.1:0",
    "announce_key": "k",
    "replicas": [{"replica_id": "c1", "address": "127.0.0.1:1", "failure_domain": "b"}],
}


class FailureDomainsTest(TestCase):
    def settings(self, **more):
        return check_settings({"node": NODE, "router": {**ROUTER, **more}})

    def test_without_a_list_the_replicas_define_them(self):
        settings = self.settings()
        self.assertEqual(all_failure_domains(settings), ("a", "b"))
        self.assertEqual(near_failure_domains(settings), ("a", "b"))

    def test_lists_are_used_and_always_include_the_own_domain(self):
        settings = self.settings(failure_domains=["b", "c"], near_failure_domains=["c"])
        self.assertEqual(all_failure_domains(settings), ("a", "b", "c"))
        self.assertEqual(near_failure_domains(settings), ("a", "c"))
