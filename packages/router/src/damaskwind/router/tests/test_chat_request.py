"""Tests of what an engine gets of a chat's body."""

from unittest import TestCase

from damaskwind.router.chat_request import parse_chat_request
from damaskwind.router.tests.bench import make_configuration

MESSAGES = b'[{"role":"user","content":"hello"}]'


def engine_body(fields: bytes) -> bytes:
    """Return the body for the engine of a chat with these fields besides model and messages."""
    configuration = make_configuration()
    account = configuration.accounts["library"]
    body = b'{"model":"damask@1","messages":' + MESSAGES + b"," + fields + b"}"
    return parse_chat_request(body, account, configuration).engine_body


class EngineBodyTest(TestCase):
    def test_values_of_other_fields_stay_as_they_were_sent(self) -> None:
        """Guards against numbers that lose digits when they are read and written anew."""
        values = (b"1.10", b"1E5", b"18446744073709551617", b"0.30000000000000000001", b'"\\u0041"')
        for value in values:
            with self.subTest(value):
                self.assertIn(b'"seed":' + value, engine_body(b'"seed":' + value))
                nested = b'"metadata":{"a":[' + value + b"]}"
                self.assertIn(nested, engine_body(nested))

    def test_only_the_model_and_the_wish_for_usage_are_changed(self) -> None:
        options = b'"stream":true,"stream_options":{"x":1.50,"include_usage":false}'
        expected = (
            b'{"model":"damask","messages":%s,"stream":true,'
            b'"stream_options":{"x":1.50,"include_usage":true}}' % MESSAGES
        )
        self.assertEqual(engine_body(options), expected)
        self.assertIn(b'"stream_options":{"include_usage":true}', engine_body(b'"stream":true'))
        null = engine_body(b'"stream":true,"stream_options":null')
        self.assertIn(b'"stream_options":{"include_usage":true}', null)
