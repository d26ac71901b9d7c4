import unittest

from damaskwind.wire.authentication import (
    MESSAGE_LIMIT_BYTES,
    AuthenticationError,
    AuthenticationOutcome,
    CallSigner,
    CallVerifier,
    message_mac,
)

METHOD = "/damaskwind.replication.Replication/Deliver"


class AuthenticationTest(unittest.TestCase):
    def setUp(self):
        self.signer = CallSigner("kl", "key", "replica-1")
        self.verifier = CallVerifier("kl", "key")

    def refuse(self, metadata, method=METHOD, body=b"body"):
        with self.assertRaises(AuthenticationError) as caught:
            self.verifier.verify(method, body, metadata)
        return caught.exception.outcome

    def test_accepts_its_own_cluster(self):
        metadata = self.signer.sign(METHOD, b"body")
        self.assertEqual(self.verifier.verify(METHOD, b"body", metadata), "replica-1")

    def test_wrong_cluster_key_method_and_body_are_refused_with_their_reason(self):
        outcomes = [
            self.refuse(CallSigner("hcm", "key", "r").sign(METHOD, b"body")),
            self.refuse(CallSigner("kl", "other", "r").sign(METHOD, b"body")),
            self.refuse(self.signer.sign(METHOD, b"body"), method="/other"),
            self.refuse(self.signer.sign(METHOD, b"body"), body=b"changed"),
            self.refuse({}),
        ]
        wrong_mac = AuthenticationOutcome.WRONG_MAC
        self.assertEqual(outcomes[0], AuthenticationOutcome.WRONG_CLUSTER)
        self.assertEqual(outcomes[1:4], [wrong_mac] * 3)
        self.assertEqual(outcomes[4], AuthenticationOutcome.MISSING_FIELD)

    def test_changed_counter_breaks_the_mac(self):
        metadata = self.signer.sign(METHOD, b"body") | {"x-counter": "99"}
        self.assertEqual(self.refuse(metadata), AuthenticationOutcome.WRONG_MAC)

    def test_replay_is_refused_and_reordering_is_not(self):
        first, second = (self.signer.sign(METHOD, b"body") for _ in range(2))
        self.verifier.verify(METHOD, b"body", second)
        self.verifier.verify(METHOD, b"body", first)
        for metadata in (first, second):
            self.assertEqual(self.refuse(metadata), AuthenticationOutcome.REPLAYED)

    def test_a_call_below_the_window_is_refused(self):
        old = self.signer.sign(METHOD, b"body")
        for _ in range(5000):
            latest = self.signer.sign(METHOD, b"body")
        self.verifier.verify(METHOD, b"body", latest)
        self.assertEqual(self.refuse(old), AuthenticationOutcome.REPLAYED)

    def test_oversized_body_is_refused_before_it_is_hashed(self):
        body = bytes(MESSAGE_LIMIT_BYTES + 1)
        outcome = self.refuse({}, body=body)
        self.assertEqual(outcome, AuthenticationOutcome.TOO_LARGE)

    def test_macs_differ_by_purpose(self):
        self.assertNotEqual(message_mac("key", "a", b"x"), message_mac("key", "b", b"x"))
