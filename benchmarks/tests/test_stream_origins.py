"""Streams that are written down go on after kills; asked for and hashed they don't, or join."""

import unittest

from benchmarks.stream_origins import OriginLoad, simulate

GO_ON_SHARE = 0.95
LOADS = (OriginLoad(8), OriginLoad(57, streams_per_router_s=1.0))
SEEDS = (1, 2)


class StreamOriginsTest(unittest.TestCase):
    def test_streams_written_down_go_on_and_are_never_joined(self):
        """Guards against a way of writing down that loses streams when processes are killed."""
        for load in LOADS:
            for seed in SEEDS:
                with self.subTest(load=load, seed=seed):
                    written = simulate("written", load, seed)
                    self.assertEqual(written.joined, 0)
                    self.assertGreaterEqual(written.found, GO_ON_SHARE)
                    self.assertLess(written.wait_ms[1], 20.0)

    def test_first_holder_alone_at_once_costs_fewer_calls(self):
        """Guards against a price of three calls a stream."""
        written, to_all = (simulate(way, LOADS[0], 1) for way in ("written", "written to all"))
        self.assertLess(written.messages_per_stream, 0.6 * to_all.messages_per_stream)

    def test_other_ways_lose_or_join_streams(self):
        """Guards against a replay that could not tell the ways apart."""
        self.assertLess(simulate("asked", LOADS[1], 1).found, GO_ON_SHARE)
        self.assertGreater(simulate("hashed", LOADS[1], 1).joined, 0)


if __name__ == "__main__":
    unittest.main()
