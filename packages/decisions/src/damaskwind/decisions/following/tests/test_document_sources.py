"""Tests of the choice of a replica to fetch a configuration from."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from twisted.trial.unittest import TestCase

from damaskwind.decisions.following.document_sources import (
    FAILURE_COOLDOWN_S,
    SOURCE_WAIT_S,
    DocumentSources,
)

HOSTS = tuple("abcdef")


def make_sources(node_id, version=7, leader="a", hosts=HOSTS):
    """Return the sources of a router to which all replicas reported a version at time 0."""
    sources = DocumentSources(node_id)
    for host in hosts:
        sources.record_version(host, version, True, host == leader, 0.0)
    return sources


class DocumentSourcesTest(TestCase):
    def test_routers_share_the_followers_and_spare_the_leader(self):
        chosen = Counter(make_sources(f"front-{number}").choose(6, 6, 0.0) for number in range(300))
        self.assertNotIn("a", chosen)
        self.assertEqual(set(chosen), set(HOSTS[1:]))
        self.assertLess(max(chosen.values()), 2 * 300 / 5)

    def test_routers_that_know_their_index_share_the_followers_evenly(self):
        chosen = Counter()
        for number in range(60):
            sources = make_sources(f"front-{number}", leader="c")
            sources.router_index = number
            chosen[sources.choose(6, 6, 0.0)] += 1
        self.assertEqual(chosen, dict.fromkeys("abdef", 12))

    def test_share_of_a_lost_follower_is_split_among_the_others(self):
        chosen = Counter()
        for number in range(60):
            sources = make_sources(f"front-{number}", leader="c")
            sources.router_index = number
            sources.remove("d")
            chosen[sources.choose(6, 6, 0.0)] += 1
        self.assertEqual(chosen, dict.fromkeys("abef", 15))

    def test_failed_replica_is_asked_last_for_a_while(self):
        sources = make_sources("r")
        first = sources.choose(6, 6, 0.0)
        sources.record_failure(first, 0.0)
        self.assertNotEqual(sources.choose(6, 6, 0.1), first)
        self.assertEqual(sources.choose(6, 6, FAILURE_COOLDOWN_S + 0.1), first)

    def test_silent_replica_is_not_waited_for_until_it_reports_again(self):
        """Guards against a wait of 0.3 s for a replica that is known not to answer."""
        sources = make_sources("r")
        first = sources.choose(6, 6, 0.0)
        sources.record_silence(first)
        for host in set(HOSTS) - {first}:
            sources.record_version(host, 8, True, host == "a", 5.0)
        self.assertNotIn(sources.choose(7, 6, 5.0), (None, "a"))
        sources.record_version(first, 8, True, False, 5.1)
        self.assertEqual(sources.choose(7, 6, 5.1), first)

    def test_leader_is_asked_if_the_others_do_not_report_the_version(self):
        sources = make_sources("r", version=6)
        sources.record_version("a", 7, True, True, 1.0)
        self.assertIsNone(sources.choose(6, 6, 1.0))
        self.assertEqual(sources.choose(6, 6, 1.0 + SOURCE_WAIT_S), "a")

    def test_only_replica_is_asked_at_once_although_it_leads(self):
        self.assertEqual(make_sources("r", hosts=("a",)).choose(6, 1, 0.0), "a")

    @given(st.lists(st.tuples(st.sampled_from(HOSTS), st.integers(0, 9)), min_size=1))
    def test_newer_version_is_always_fetched_in_the_end(self, reported):
        sources = DocumentSources("r")
        for number, (host, version) in enumerate(reported):
            sources.record_version(host, version, True, host == "a", number / 1000)
        newest = dict(reported)
        host = sources.choose(4, 6, 100.0)
        self.assertEqual(host is not None, max(newest.values()) > 4)
        if host is not None:
            self.assertGreater(newest[host], 4)
