"""Choose whom to send what: the probes of a round, their answers, the flooding.

Within a failure domain routers turn to each other by the common ring. Between
domains only relays speak, one exchange a round and relay, so what a domain's
border carries does not grow with its size.
"""

from random import Random

from damaskwind.decisions.membership.digests import pack_keys
from damaskwind.decisions.membership.messages import (
    Ack,
    IndirectProbe,
    News,
    Probe,
    RouterRecord,
    RouterState,
)
from damaskwind.decisions.membership.outputs import Send
from damaskwind.decisions.membership.parameters import MembershipParameters
from damaskwind.decisions.membership.prober import Prober, ring_peers
from damaskwind.decisions.membership.repair import Repair
from damaskwind.decisions.membership.routers import RouterTable
from damaskwind.decisions.membership.rumours import RumourQueue, group_updates, transmissions_limit
from damaskwind.decisions.membership.sizes import (
    estimate_bytes,
    packed_bytes,
    unpacked_bytes,
)
from damaskwind.decisions.membership.spill_gossip import SpillGossip
from damaskwind.decisions.membership.targets import REMOTE_LEASE_S, TargetTable
from damaskwind.decisions.membership.vector_exchange import VectorExchange
from damaskwind.decisions.pacing.urgency import Urgency
from damaskwind.model.targets import Address

__all__ = ["Gossip"]

_HEADER_BYTES = 70
_SUMMARY_BYTES = 40
_REMOTE_SUMMARIES = 2
_MIN_UPDATES_BYTES = 120
_NOTES_RESERVE_BYTES = 450
_NOTES_DATAGRAM_BYTES = 900
_FLOOD_MIN_NOTES = 20


class Gossip:
    """What one router sends of its own accord."""

    def __init__(
        self,
        parameters: MembershipParameters,
        routers: RouterTable,
        targets: TargetTable,
        repair: Repair,
        prober: Prober,
        random: Random,
        near_domains: frozenset[str],
    ) -> None:
        self.rumours = RumourQueue()
        self.spills = SpillGossip()
        self.vectors = VectorExchange(targets, near_domains)
        self.introduced: set[str] = set()
        self.revision = 0
        self.available_bytes = 0
        self._parameters = parameters
        self._routers = routers
        self._targets = targets
        self._repair = repair
        self._prober = prober
        self._random = random
        self._near_domains = near_domains
        self._remote_turn = 0
        self._flood_turn = 0
        self._sample_counter = 0
        self._isolated_rounds = 0

    def probe_round(self, seeds: tuple[Address, ...], now_s: float) -> list[Send]:
        """Return the probes of one round."""
        sends = []
        ring = self._routers.ring(self._routers.own_record.failure_domain)
        number = self._prober.round_number
        for router_id in ring_peers(ring, self._routers.own_record.router_id, number, 1):
            sends.append(self._probe(number, self._routers.get(router_id), now_s))
        if self._routers.is_relay():
            sends += self._remote_probe(now_s)
        if self._should_probe_seed() or number % self._parameters.rounds_per_rejoin_probe == 0:
            sends += self._rejoin_probe(seeds, now_s)
        return sends

    def flood(self, now_s: float) -> list[Send]:
        """Return the datagrams that spread the most urgent news, as far as there is room.

        Each item goes to `fanout` peers, one datagram after the other along the
        ring; a relay also sends it to `remote_fanout` other domains.
        """
        sends = []
        for lane, peers in (("near", self._local_peers()), ("far", self._remote_peers())):
            for router_id in peers:
                send = self._flood_peer(router_id, lane, len(peers), now_s)
                if send is None:
                    break
                sends.append(send)
        return sends

    def _flood_peer(self, router_id: str, lane: str, fanout: int, now_s: float) -> Send | None:
        """Return one datagram of news for a peer, if there are any and there is room."""
        parameters = self._parameters
        limit_bytes = min(self.available_bytes - _HEADER_BYTES, parameters.updates_bytes)
        if limit_bytes < _MIN_UPDATES_BYTES:
            if not self.rumours.has_pending_leaves(fanout, lane == "far"):
                return None
            # The pacer lets leaves go before all else, without a reserve.
            limit_bytes = parameters.updates_bytes
        batch = self.rumours.take_flood(unpacked_bytes(limit_bytes), fanout, lane == "far", now_s)
        if batch is None:
            return None
        self.available_bytes -= packed_bytes(sum(map(estimate_bytes, batch.items))) + _HEADER_BYTES
        record = self._routers.get(router_id)
        return Send(router_id, record.address, group_updates(batch.items), batch.urgency)

    def _local_peers(self) -> list[str]:
        """Return the next peers of the own domain that news goes to."""
        me = self._routers.own_record
        ring = self._routers.ring(me.failure_domain)
        self._flood_turn += 1
        return ring_peers(ring, me.router_id, self._flood_turn, self._parameters.fanout)

    def _remote_peers(self) -> list[str]:
        """Return relays of some other domains, for a relay."""
        if not self._routers.is_relay():
            return []
        me = self._routers.own_record
        others = [name for name in self._routers.domains() if name != me.failure_domain]
        count = min(self._parameters.remote_fanout, len(others))
        domains = self._random.sample(others, count)
        return [self._random.choice(self._routers.relays(domain)) for domain in domains]

    def flood_peers(self) -> list[str]:
        """Return whom the most urgent word goes to at once."""
        return self._local_peers() + self._remote_peers()

    def request_indirect_probes(self, nonce: int, router_id: str) -> list[Send]:
        """Return the requests to probe a router that did not answer."""
        me = self._routers.own_record
        ring = [name for name in self._routers.ring(me.failure_domain) if name != me.router_id]
        helpers = [name for name in ring if name != router_id]
        count = min(self._parameters.indirect_probes, len(helpers))
        sends = []
        for name in self._random.sample(helpers, count):
            address = self._routers.get(name).address
            sends.append(Send(name, address, IndirectProbe(nonce, router_id), Urgency.PROBE))
        return sends

    def bare_probe(self, nonce: int, record: RouterRecord) -> Send:
        """Return a probe with nothing on board but an introduction."""
        probe = Probe(nonce, self.revision, self._routers.own_record)
        return Send(record.router_id, record.address, probe, Urgency.PROBE)

    def ack(
        self, probe: Probe, sender: RouterRecord | None, sender_known: bool, now_s: float
    ) -> Ack:
        """Return the answer to a probe."""
        near = (
            sender is not None and sender.failure_domain == self._routers.own_record.failure_domain
        )
        bare = len(probe.loads) == 0 and not probe.summaries
        news = self._piggyback(sender, near, not bare, now_s)
        loads = b"" if bare else self._loads(now_s, near, news)
        summaries = () if near or bare else (self._repair.own_summary(),)
        introduction = None if sender_known else self._routers.own_record
        if probe.sender is not None and probe.updates is None and bare:
            news = self._introductions(probe.sender)
        vector = b"" if bare else self._vector(sender, now_s)
        return Ack(probe.nonce, self.revision, loads, summaries, news, introduction, vector)

    def _introductions(self, newcomer: RouterRecord) -> News:
        """Name some routers to one that may know none, those of its domain first."""
        me = self._routers.own_record
        others = [r for r in self._routers.live() if r.router_id not in (me.router_id, newcomer[0])]
        self._random.shuffle(others)
        others.sort(key=lambda record: record.failure_domain != newcomer.failure_domain)
        chosen = [me, *others[: self._parameters.introductions]]
        return group_updates(chosen)._replace(repair=True)

    def _probe(self, nonce: int, record: RouterRecord, now_s: float) -> Send:
        """Return a probe with loads, summaries and news on board."""
        near = record.failure_domain == self._routers.own_record.failure_domain
        self._prober.record_sent(nonce, record.router_id, now_s)
        news = self._piggyback(record, near, True, now_s)
        introduction = None if record.router_id in self.introduced else self._routers.own_record
        summaries = (self._repair.own_summary(),)
        if near:
            summaries += self._repair.remote_summaries(_REMOTE_SUMMARIES, REMOTE_LEASE_S, now_s)
        probe = Probe(
            nonce,
            self.revision,
            introduction,
            self._loads(now_s, near, news),
            self._overdue_keys(now_s) if near else b"",
            summaries,
            news,
            self._vector(record, now_s),
        )
        return Send(record.router_id, record.address, probe, Urgency.PROBE)

    def _remote_probe(self, now_s: float) -> list[Send]:
        """Return the probe of a relay to a relay of the next domain."""
        me = self._routers.own_record
        others = [name for name in self._routers.domains() if name != me.failure_domain]
        if not others:
            return []
        self._remote_turn += 1
        relays = self._routers.relays(others[self._remote_turn % len(others)])
        record = self._routers.get(self._random.choice(relays))
        return [self._probe(self._prober.next_off_ring_nonce(), record, now_s)]

    def _should_probe_seed(self) -> bool:
        """Tell whether a router that knows no other should ask a seed in this round.

        It asks ever less often, since a whole fleet may be starting at once.
        """
        if len(self._routers.live()) > 1:
            self._isolated_rounds = 0
            return False
        self._isolated_rounds += 1
        limit = min(self._isolated_rounds, self._parameters.isolated_rounds_limit)
        return self._random.random() < 1.0 / limit

    def _rejoin_probe(self, seeds: tuple[Address, ...], now_s: float) -> list[Send]:
        """Return a probe to a router held dead or to a seed that nobody lives at."""
        lost = [(record.router_id, record.address) for record in self._routers.dead()]
        known = {record.address for record in self._routers.live()}
        lost += [("", seed) for seed in seeds if seed not in known]
        if not lost:
            return []
        router_id, address = self._random.choice(lost)
        record = self._routers.get(router_id)
        news = group_updates([record]) if record is not None else None
        nonce = self._prober.next_off_ring_nonce()
        probe = Probe(nonce, self.revision, self._routers.own_record, updates=news)
        return [Send(router_id, address, probe, Urgency.PROBE)]

    def _loads(self, now_s: float, near: bool, news: News | None) -> bytes:
        """Return the loads that fit beside the news."""
        parameters = self._parameters
        limit_bytes = parameters.probe_bytes if near else parameters.remote_probe_bytes
        if near and self.vectors.is_usable:
            # The vector has the loads; these are for targets that are not yet alike.
            limit_bytes = min(limit_bytes, parameters.uncovered_loads_bytes)
        elif near and self.available_bytes >= parameters.spare_headroom_bytes:
            limit_bytes += parameters.spare_probe_bytes
        else_bytes = _HEADER_BYTES + _SUMMARY_BYTES
        if news is not None:
            else_bytes += packed_bytes(estimate_bytes(news))
        if not (near and self.vectors.is_usable):
            limit_bytes -= else_bytes
        routers = len(self._routers.ring(self._routers.own_record.failure_domain))
        factor = parameters.load_transmissions_factor
        among = self.vectors.uncovered_targets(now_s) if near and self.vectors.is_usable else None
        limit = transmissions_limit(routers, factor)
        return self._targets.pack_loads(limit_bytes, limit, now_s, among)

    def _vector(self, record: RouterRecord | None, now_s: float) -> bytes:
        """Return the load vector for a router of this or a near failure domain."""
        if record is None or record.failure_domain not in self._near_domains:
            return b""
        near = record.failure_domain == self._routers.own_record.failure_domain
        parameters = self._parameters
        limit_bytes = int(parameters.vector_share * parameters.control_bytes_per_s)
        if not near:
            limit_bytes = min(limit_bytes, parameters.remote_probe_bytes)
        if not self.vectors.is_usable:
            # Only a sample now and then, by which peers learn whether their lists are alike.
            self._sample_counter += 1
            if self._sample_counter % parameters.messages_per_sample:
                return b""
            limit_bytes = min(limit_bytes, parameters.sample_vector_bytes)
        limit_bytes = min(limit_bytes, parameters.vector_limit_bytes)
        # An answer too large for this second comes too late for its probe, and a join
        # that waits keeps a whole group of loads from those who have not heard of it.
        available_bytes = self.available_bytes
        if self.rumours.has_pending_floods(parameters.fanout):
            available_bytes = 0
        limit_bytes = min(limit_bytes, max(available_bytes, parameters.sample_vector_bytes))
        return self.vectors.pack(limit_bytes, parameters.renewal_sends, now_s)

    def _spill_notes(self, record: RouterRecord | None, now_s: float) -> bytes:
        """Return spill notes for a router of this or a near failure domain."""
        if record is None or record.failure_domain not in self._near_domains:
            return b""
        parameters = self._parameters
        limit_bytes = int(parameters.notes_share * parameters.control_bytes_per_s)
        limit_bytes = min(limit_bytes, parameters.notes_limit_bytes, self.available_bytes // 4)
        return self.spills.pack(limit_bytes, self._note_send_limit(), now_s)

    def flood_notes(self, now_s: float) -> list[Send]:
        """Return a datagram of spill notes, when many wait and there is much room."""
        limit_bytes = min(self.available_bytes - _NOTES_RESERVE_BYTES, _NOTES_DATAGRAM_BYTES)
        peers = self._local_peers()[:1]
        if not peers or limit_bytes < _MIN_UPDATES_BYTES:
            return []
        if self.spills.pending_count(self._note_send_limit()) < _FLOOD_MIN_NOTES:
            return []
        notes = self.spills.pack(limit_bytes, self._note_send_limit(), now_s)
        self.available_bytes -= len(notes) + _HEADER_BYTES
        address = self._routers.get(peers[0]).address
        return [Send(peers[0], address, News(spills=notes), Urgency.ROUTINE)]

    def _note_send_limit(self) -> int:
        """Return how often this router passes a note on."""
        routers = sum(len(self._routers.ring(domain)) for domain in self._near_domains)
        sends = transmissions_limit(routers, self._parameters.note_transmissions_factor)
        return sends + 2 * (len(self._near_domains) - 1)

    def _overdue_keys(self, now_s: float) -> bytes:
        """Return the keys of targets whose renewal has not come for long."""
        keys = self._targets.overdue_keys(self._parameters.overdue_share, now_s)
        self._random.shuffle(keys)
        return pack_keys(keys[: self._parameters.overdue_limit])

    def _piggyback(
        self, record: RouterRecord | None, near: bool, notes: bool, now_s: float
    ) -> News | None:
        """Return the news that rides along, with what the peer must refute."""
        routers = len(self._routers.ring(self._routers.own_record.failure_domain))
        limit = transmissions_limit(routers, self._parameters.rumour_transmissions_factor)
        room = unpacked_bytes(self._parameters.piggyback_bytes)
        items = self.rumours.take_piggyback(room, limit, now_s, near)
        if record is not None and record.state != RouterState.ALIVE and record not in items:
            items.append(record)
        spills = self._spill_notes(record, now_s) if notes else b""
        return group_updates(items)._replace(spills=spills) if items or spills else None
