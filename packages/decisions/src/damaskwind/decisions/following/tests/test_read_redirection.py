"""Tests of the choice where an operator reads a configuration."""

import unittest
from random import Random

from damaskwind.decisions.following.read_redirection import (
    LOCAL_READ_S,
    ReadRedirector,
    RelayEndpoint,
)

LINK_BYTES_PER_S = 375_000.0
LARGE_BYTES = 450_000


def routers(count, link_bytes_per_s=2 * LINK_BYTES_PER_S):
    return [RelayEndpoint(f"10.0.0.{number}", link_bytes_per_s) for number in range(count)]


class ReadRedirectorTest(unittest.TestCase):
    def setUp(self):
        self.redirector = ReadRedirector(LINK_BYTES_PER_S, 8101, Random(1))

    def chosen(self, relays):
        return {self.redirector.choose(LARGE_BYTES, relays).host for _ in range(200)}

    def test_small_document_is_read_from_the_replica(self):
        size_bytes = int(LINK_BYTES_PER_S * LOCAL_READ_S)
        self.assertIsNone(self.redirector.choose(size_bytes, routers(8)))
        self.assertIsNotNone(self.redirector.choose(size_bytes + 1, routers(8)))

    def test_routers_without_a_faster_link_are_not_chosen(self):
        self.assertIsNone(self.redirector.choose(LARGE_BYTES, routers(8, LINK_BYTES_PER_S)))

    def test_most_recent_half_of_the_requesters_share_the_reads(self):
        self.assertEqual(self.chosen(routers(8)), {f"10.0.0.{number}" for number in range(4)})

    def test_number_of_candidates_is_limited(self):
        self.assertEqual(len(self.chosen(routers(195))), 8)

    def test_single_router_is_chosen(self):
        self.assertEqual(self.chosen(routers(1)), {"10.0.0.0"})

    def test_link_of_unknown_rate_reads_from_the_replica(self):
        redirector = ReadRedirector(float("inf"), 8101, Random(1))
        self.assertIsNone(redirector.choose(LARGE_BYTES, routers(8)))
