"""Tests of how a document spreads over routers that all ask for it at once."""

from unittest import TestCase

from damaskwind.decisions.following.document_holders import MAX_RELAY_DELAY_S, DocumentHolders

SEND_S = 0.167


class SpreadTest(TestCase):
    def test_routers_that_ask_together_are_spread_over_all_that_have_it_by_then(self):
        """All but the first were sent to the two routers that a replica had begun to send to.

        Of 45 that asked it within some ms, each of the two had 22 to serve, 3.7 s of its part
        of a link, and was given up after 1.5 s: the last of 195 routers had a document after
        5.4 s of 3.0 s allowed.
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

    def test_who_would_have_it_late_is_not_sent_on(self):
        holders = DocumentHolders()
        holders.record(2, "first", 1.1)
        self.assertEqual(holders.choose(2, "router", SEND_S, 0.0), ())

    def test_a_newer_version_has_holders_of_its_own(self):
        holders = DocumentHolders()
        holders.record(2, "first", 0.0)
        holders.record(3, "second", 0.0)
        holders.record(2, "third", 0.0)
        self.assertEqual(holders.choose(3, "router", SEND_S, 0.0), ("second",))
