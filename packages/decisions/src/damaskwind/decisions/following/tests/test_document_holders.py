"""Tests of how a document spreads over routers that all request it at once."""

from unittest import TestCase

from damaskwind.decisions.following.document_holders import MAX_RELAY_DELAY_S, DocumentHolders

SEND_S = 0.167


class SpreadTest(TestCase):
    def test_simultaneous_requesters_are_spread_over_all_holders(self):
        """Requesters must not all be referred to the first two holders.

        Of 45 routers that made a request within some ms, each of these holders had to serve
        22, which took 3.7 s with its share of a link, while requesters gave up after 1.5 s.
        The last of 195 routers received the document after 5.4 s, with 3.0 s allowed.
        """
        holders = DocumentHolders()
        holders.record(2, "first-0", 0.1)
        holders.record(2, "first-1", 0.2)
        times_s = {"first-0": 0.1, "first-1": 0.2}
        free_s = dict(times_s)
        for number in range(45):
            requester = f"router-{number}"
            named = holders.choose(2, requester, SEND_S, 0.0)
            begun_s = max(free_s[named[0]], times_s[named[0]])
            free_s[named[0]] = free_s[requester] = times_s[requester] = begun_s + SEND_S
        self.assertLess(max(times_s.values()), MAX_RELAY_DELAY_S)

    def test_requester_that_would_wait_too_long_is_not_referred(self):
        holders = DocumentHolders()
        holders.record(2, "first", 1.1)
        self.assertEqual(holders.choose(2, "router", SEND_S, 0.0), ())

    def test_newer_version_replaces_the_holders_of_an_older_one(self):
        holders = DocumentHolders()
        holders.record(2, "first", 0.0)
        holders.record(3, "second", 0.0)
        holders.record(2, "third", 0.0)
        self.assertEqual(holders.choose(3, "router", SEND_S, 0.0), ("second",))
