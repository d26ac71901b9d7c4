"""Tests of chats through a router and stand-in engines, with the openai client."""

from openai import NotFoundError
from twisted.trial.unittest import TestCase

from damaskwind.model.prefix import Message, ModelName
from damaskwind.router.tests.bench import TestBench
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.standins.answers import expected_answer

NAME = ModelName("damask", "1")
MESSAGES = [{"role": "user", "content": "which laptops are due?"}]
EXPECTED = expected_answer(1, NAME, [Message("user", MESSAGES[0]["content"])], 16)


class ChatsTest(TestCase):
    @asyncio_test
    async def test_streamed_and_whole(self):
        bench = await TestBench().start()
        try:
            stream = await bench.client.chat.completions.create(
                model="damask", messages=MESSAGES, stream=True
            )
            chunks = [chunk async for chunk in stream]
            text = "".join(chunk.choices[0].delta.content or "" for chunk in chunks)
            self.assertEqual(text, EXPECTED)
            whole = await bench.client.chat.completions.create(model="damask", messages=MESSAGES)
            self.assertEqual(whole.choices[0].message.content, EXPECTED)
            with self.assertRaises(NotFoundError):
                await bench.client.chat.completions.create(model="damask@2", messages=MESSAGES)
        finally:
            await bench.stop()
