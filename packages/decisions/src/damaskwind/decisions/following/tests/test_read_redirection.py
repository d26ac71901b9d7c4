"""Tests of where an operator reads a configuration."""

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
        self.places = ReadRedirector(LINK_BYTES_PER_S, 8101, Random(1))

    def chosen(self, places):
        return {self.places.choose(LARGE_BYTES, places).host for _ in range(200)}

    def test_small_document_is_read_here(self):
        size_bytes = int(LINK_BYTES_PER_S * LOCAL_READ_S)
        self.assertIsNone(self.places.choose(size_bytes, routers(8)))
        self.assertIsNotNone(self.places.choose(size_bytes + 1, routers(8)))

    def test_routers_behind_links_no_wider_are_not_named(self):
        self.assertIsNone(self.places.choose(LARGE_BYTES, routers(8, LINK_BYTES_PER_S)))

    def test_half_that_asked_last_share_the_reads(self):
        self.assertEqual(self.chosen(routers(8)), {f"10.0.0.{number}" for number in range(4)})

    def test_of_many_routers_only_some_are_drawn(self):
        self.assertEqual(len(self.chosen(routers(195))), 8)

    def test_only_router_is_named(self):
        self.assertEqual(self.chosen(routers(1)), {"10.0.0.0"})

    def test_link_of_unknown_rate_reads_here(self):
        places = ReadRedirector(float("inf"), 8101, Random(1))
        self.assertIsNone(places.choose(LARGE_BYTES, routers(8)))
