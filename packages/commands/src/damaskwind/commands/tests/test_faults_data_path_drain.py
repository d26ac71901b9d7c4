"""Test with real processes: a draining router finishes its streams and accepts nothing new."""

import asyncio
import json
import signal
from http.client import HTTPConnection
from time import sleep

from damaskwind.commands.tests.data_path_fleet import ACCOUNT_KEY, expected_chat
from damaskwind.commands.tests.data_path_traffic import FleetTestCase
from damaskwind.runtime.bridge import asyncio_test
from damaskwind.standins.harness import wait_until

STREAMS = 200
STREAM_TOKENS = 160
# Streams of 40 s outlast the drain delay even if starting all two hundred takes half a minute.
TOKEN_S = 0.25
PROBE_S = 0.02
# The balancer's timeout for an answer.
PROBE_LIMIT_S = 10.0


class DrainTest(FleetTestCase):
    async def read_stream(self, stream, started_streams, texts):
        """Read a stream to its end."""
        text = ""
        async for chunk in stream:
            started_streams.add(id(stream))
            text += "".join(choice.delta.content or "" for choice in chunk.choices)
        texts.append(text)

    async def one_stream(self, client, number, started_streams, texts):
        """Start a stream and read it to its end."""
        stream = await client.chat.completions.create(
            model="damask",
            messages=[{"role": "user", "content": f"stream {number}"}],
            stream=True,
            max_tokens=STREAM_TOKENS,
        )
        await self.read_stream(stream, started_streams, texts)

    def probe(self, router, statuses):
        """Check readiness like the platform's balancer, until the listener is closed.

        Runs in its own thread: on the event loop that reads two hundred streams, a check waited
        24.8 s on a busy machine, longer than the drain.
        """
        while statuses[-1:] != [0]:
            status = self.readiness(self.fleet.routers[router])
            if statuses[-1:] != [status]:
                statuses.append(status)
            sleep(PROBE_S)

    def readiness(self, address):
        """Return the status of one readiness check; 0 if it is refused or not answered."""
        connection = HTTPConnection(address, timeout=PROBE_LIMIT_S)
        try:
            connection.request("GET", "/readyz")
            return connection.getresponse().status
        except OSError:
            return 0
        finally:
            connection.close()

    async def open_connection(self, router):
        """Open a raw connection, which stays open after an answer."""
        host, port = self.fleet.routers[router].split(":")
        return await asyncio.open_connection(host, int(port))

    def raw_chat(self, text, size_tokens):
        """Return a streamed chat as the bytes on the wire."""
        messages = [{"role": "user", "content": text}]
        chat = {"model": "damask", "stream": True, "max_tokens": size_tokens, "messages": messages}
        body = json.dumps(chat)
        head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
        head += f"authorization: Bearer {ACCOUNT_KEY}\r\ncontent-length: {len(body)}\r\n\r\n"
        return (head + body).encode()

    @asyncio_test
    async def test_streams_finish_after_sigterm_and_new_requests_are_refused(self):
        fleet = self.fleet
        await fleet.start_routers(2, policy={"load_factor": 4.0}, drain_delay_s=4.0)
        fields = {"token_interval_s": TOKEN_S, "max_running_requests": 128}
        engines = [{"target_id": f"engine-{number}", **fields} for number in range(4)]
        await fleet.start_targets("targets", engines, [])
        await fleet.wait_until_ready()
        started_streams, texts, statuses = set(), [], []
        client = self.client("router-1")
        streams = [
            asyncio.ensure_future(self.one_stream(client, number, started_streams, texts))
            for number in range(STREAMS)
        ]
        idle, idle_writer = await self.open_connection("router-1")
        busy, busy_writer = await self.open_connection("router-1")
        busy_writer.write(self.raw_chat("kept", STREAM_TOKENS))
        await wait_until(lambda: len(started_streams) == STREAMS, 30, "two hundred started streams")
        await busy.readuntil(b"data: ")
        self.assertFalse(any(stream.done() for stream in streams))

        router = fleet.harness.processes["router-1"]
        probing = asyncio.ensure_future(asyncio.to_thread(self.probe, "router-1", statuses))
        await wait_until(lambda: statuses == [200], 10, "a first probe")
        router.send(signal.SIGTERM)
        await asyncio.wait_for(probing, 30)
        self.assertEqual(statuses, [200, 503, 0], "readiness fails first, then the listener closes")
        self.assertIsNone(router.exit_code)
        before = (await fleet.total_counts("events"))["run"]
        # Neither an idle connection nor one with an answer in progress may carry a new request.
        idle_writer.write(self.raw_chat("new on an idle one", 1))
        busy_writer.write(self.raw_chat("new behind a stream", 1))
        self.assertEqual(await asyncio.wait_for(idle.read(), 20), b"")
        last = await asyncio.wait_for(busy.read(), 60)
        self.assertEqual(last.count(b"[DONE]"), 1)
        self.assertNotIn(b"HTTP/1.1", last)

        results = await asyncio.gather(*streams, return_exceptions=True)
        self.assertEqual([one for one in results if one is not None], [])
        expected = [expected_chat(f"stream {number}", STREAM_TOKENS) for number in range(STREAMS)]
        self.assertEqual(sorted(texts), sorted(expected))
        self.assertEqual(await router.wait(60), 0)
        self.assertEqual((await fleet.total_counts("events"))["run"], before)
        self.assertEqual(before, STREAMS + 1)
