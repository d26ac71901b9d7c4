"""Choose recipients and contents of gossip: probes, their acks, and flooded updates.

Within a failure domain routers select peers on a shared ring. Between domains only
relays communicate, with one exchange per round and relay, so that traffic between
domains does not grow with their size.
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
from damaskwind.decisions.membership.targets import REMOTE_LEASE_S, LeasedTargetTable
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
    """The messages that one router originates."""

    def __init__(
        self,
        parameters: MembershipParameters,
        routers: RouterTable,
        targets: LeasedTargetTable,
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
        self.headroom_bytes = 0
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
        """Return the probes of a round."""
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
        """Return datagrams with the most urgent updates, as far as the byte budget allows.

        Each item goes to `fanout` peers, one datagram after the other along the
        ring; a relay also sends it to `remote_fanout` other domains.
        """
        sends = []
        for scope, peers in (("local", self._local_peers()), ("remote", self._remote_peers())):
            for router_id in peers:
                send = self._flood_peer(router_id, scope, len(peers), now_s)
                if send is None:
                    break
                sends.append(send)
        return sends

    def _flood_peer(self, router_id: str, scope: str, fanout: int, now_s: float) -> Send | None:
        """Return one datagram of updates for a peer, or `None` without updates or budget."""
        parameters = self._parameters
        limit_bytes = min(self.headroom_bytes - _HEADER_BYTES, parameters.updates_bytes)
        if limit_bytes < _MIN_UPDATES_BYTES:
            if not self.rumours.has_pending_leaves(fanout, scope == "remote"):
                return None
            # The pacer sends leaves before all other messages and without a reserve.
            limit_bytes = parameters.updates_bytes
        batch = self.rumours.take_flood(
            unpacked_bytes(limit_bytes), fanout, scope == "remote", now_s
        )
        if batch is None:
            return None
        self.headroom_bytes -= packed_bytes(sum(map(estimate_bytes, batch.items))) + _HEADER_BYTES
        record = self._routers.get(router_id)
        return Send(router_id, record.address, group_updates(batch.items), batch.urgency)

    def _local_peers(self) -> list[str]:
        """Return the next peers of the local domain to flood."""
        own_record = self._routers.own_record
        ring = self._routers.ring(own_record.failure_domain)
        self._flood_turn += 1
        return ring_peers(ring, own_record.router_id, self._flood_turn, self._parameters.fanout)

    def _remote_peers(self) -> list[str]:
        """Return one relay for each of some other domains; nothing unless this is a relay."""
        if not self._routers.is_relay():
            return []
        own_record = self._routers.own_record
        candidates = [name for name in self._routers.domains() if name != own_record.failure_domain]
        count = min(self._parameters.remote_fanout, len(candidates))
        domains = self._random.sample(candidates, count)
        return [self._random.choice(self._routers.relays(domain)) for domain in domains]

    def flood_peers(self) -> list[str]:
        """Return the peers that receive the most urgent updates at once."""
        return self._local_peers() + self._remote_peers()

    def request_indirect_probes(self, nonce: int, router_id: str) -> list[Send]:
        """Return the requests to probe a router that did not acknowledge a probe."""
        own_record = self._routers.own_record
        ring = [
            name
            for name in self._routers.ring(own_record.failure_domain)
            if name != own_record.router_id
        ]
        helpers = [name for name in ring if name != router_id]
        count = min(self._parameters.indirect_probes, len(helpers))
        sends = []
        for name in self._random.sample(helpers, count):
            address = self._routers.get(name).address
            sends.append(Send(name, address, IndirectProbe(nonce, router_id), Urgency.PROBE))
        return sends

    def bare_probe(self, nonce: int, record: RouterRecord) -> Send:
        """Return a probe that carries only an introduction of this router."""
        probe = Probe(nonce, self.revision, self._routers.own_record)
        return Send(record.router_id, record.address, probe, Urgency.PROBE)

    def ack(
        self, probe: Probe, sender: RouterRecord | None, sender_known: bool, now_s: float
    ) -> Ack:
        """Return the ack of a probe."""
        is_local = (
            sender is not None and sender.failure_domain == self._routers.own_record.failure_domain
        )
        is_bare = len(probe.loads) == 0 and not probe.summaries
        updates = self._piggyback(sender, is_local, not is_bare, now_s)
        loads = b"" if is_bare else self._loads(now_s, is_local, updates)
        summaries = () if is_local or is_bare else (self._repair.own_summary(),)
        introduction = None if sender_known else self._routers.own_record
        if probe.sender is not None and probe.updates is None and is_bare:
            updates = self._introductions(probe.sender)
        vector = b"" if is_bare else self._vector(sender, now_s)
        return Ack(probe.nonce, self.revision, loads, summaries, updates, introduction, vector)

    def _introductions(self, newcomer: RouterRecord) -> News:
        """Return some routers for one that may know none, those of its domain first."""
        own_record = self._routers.own_record
        candidates = [
            r
            for r in self._routers.live()
            if r.router_id not in (own_record.router_id, newcomer[0])
        ]
        self._random.shuffle(candidates)
        candidates.sort(key=lambda record: record.failure_domain != newcomer.failure_domain)
        chosen = [own_record, *candidates[: self._parameters.introductions]]
        return group_updates(chosen)._replace(repair=True)

    def _probe(self, nonce: int, record: RouterRecord, now_s: float) -> Send:
        """Return a probe that carries loads, summaries and updates."""
        is_local = record.failure_domain == self._routers.own_record.failure_domain
        self._prober.record_sent(nonce, record.router_id, now_s)
        updates = self._piggyback(record, is_local, True, now_s)
        introduction = None if record.router_id in self.introduced else self._routers.own_record
        summaries = (self._repair.own_summary(),)
        if is_local:
            summaries += self._repair.remote_summaries(_REMOTE_SUMMARIES, REMOTE_LEASE_S, now_s)
        probe = Probe(
            nonce,
            self.revision,
            introduction,
            self._loads(now_s, is_local, updates),
            self._overdue_keys(now_s) if is_local else b"",
            summaries,
            updates,
            self._vector(record, now_s),
        )
        return Send(record.router_id, record.address, probe, Urgency.PROBE)

    def _remote_probe(self, now_s: float) -> list[Send]:
        """Return this relay's probe to a relay of the next domain."""
        own_record = self._routers.own_record
        candidates = [name for name in self._routers.domains() if name != own_record.failure_domain]
        if not candidates:
            return []
        self._remote_turn += 1
        relays = self._routers.relays(candidates[self._remote_turn % len(candidates)])
        record = self._routers.get(self._random.choice(relays))
        return [self._probe(self._prober.next_off_ring_nonce(), record, now_s)]

    def _should_probe_seed(self) -> bool:
        """Tell whether a router that knows no other one should probe a seed in this round.

        The probability decreases with each round, since a whole fleet may be starting
        at the same time.
        """
        if len(self._routers.live()) > 1:
            self._isolated_rounds = 0
            return False
        self._isolated_rounds += 1
        limit = min(self._isolated_rounds, self._parameters.isolated_rounds_limit)
        return self._random.random() < 1.0 / limit

    def _rejoin_probe(self, seeds: tuple[Address, ...], now_s: float) -> list[Send]:
        """Return a probe to a dead router, or to a seed address that no live router has."""
        rejoin_candidates = [(record.router_id, record.address) for record in self._routers.dead()]
        known = {record.address for record in self._routers.live()}
        rejoin_candidates += [("", seed) for seed in seeds if seed not in known]
        if not rejoin_candidates:
            return []
        router_id, address = self._random.choice(rejoin_candidates)
        record = self._routers.get(router_id)
        updates = group_updates([record]) if record is not None else None
        nonce = self._prober.next_off_ring_nonce()
        probe = Probe(nonce, self.revision, self._routers.own_record, updates=updates)
        return [Send(router_id, address, probe, Urgency.PROBE)]

    def _loads(self, now_s: float, is_local: bool, updates: News | None) -> bytes:
        """Return the loads that fit next to the updates."""
        parameters = self._parameters
        limit_bytes = parameters.probe_bytes if is_local else parameters.remote_probe_bytes
        if is_local and self.vectors.is_usable:
            # The vector carries the loads; these are for targets that it does not cover yet.
            limit_bytes = min(limit_bytes, parameters.uncovered_loads_bytes)
        elif is_local and self.headroom_bytes >= parameters.spare_headroom_bytes:
            limit_bytes += parameters.spare_probe_bytes
        other_bytes = _HEADER_BYTES + _SUMMARY_BYTES
        if updates is not None:
            other_bytes += packed_bytes(estimate_bytes(updates))
        if not (is_local and self.vectors.is_usable):
            limit_bytes -= other_bytes
        routers = len(self._routers.ring(self._routers.own_record.failure_domain))
        factor = parameters.load_transmissions_factor
        only = (
            self.vectors.uncovered_targets(now_s) if is_local and self.vectors.is_usable else None
        )
        limit = transmissions_limit(routers, factor)
        return self._targets.pack_loads(limit_bytes, limit, now_s, only)

    def _vector(self, record: RouterRecord | None, now_s: float) -> bytes:
        """Return the load vector for a router of the local or a near failure domain."""
        if record is None or record.failure_domain not in self._near_domains:
            return b""
        is_local = record.failure_domain == self._routers.own_record.failure_domain
        parameters = self._parameters
        limit_bytes = int(parameters.vector_share * parameters.control_bytes_per_s)
        if not is_local:
            limit_bytes = min(limit_bytes, parameters.remote_probe_bytes)
        if not self.vectors.is_usable:
            # Send only an occasional sample, from which peers see whether their lists match.
            self._sample_counter += 1
            if self._sample_counter % parameters.messages_per_sample:
                return b""
            limit_bytes = min(limit_bytes, parameters.sample_vector_bytes)
        limit_bytes = min(limit_bytes, parameters.vector_limit_bytes)
        # An ack too large for this second's budget arrives too late for its probe, and a
        # join that is still queued makes a whole group of loads useless to routers that
        # have not received it.
        vector_headroom_bytes = self.headroom_bytes
        if self.rumours.has_pending_floods(parameters.fanout):
            vector_headroom_bytes = 0
        limit_bytes = min(limit_bytes, max(vector_headroom_bytes, parameters.sample_vector_bytes))
        return self.vectors.pack(limit_bytes, parameters.renewal_sends, now_s)

    def _spill_notes(self, record: RouterRecord | None, now_s: float) -> bytes:
        """Return spill notes for a router of the local or a near failure domain."""
        if record is None or record.failure_domain not in self._near_domains:
            return b""
        parameters = self._parameters
        limit_bytes = int(parameters.notes_share * parameters.control_bytes_per_s)
        limit_bytes = min(limit_bytes, parameters.notes_limit_bytes, self.headroom_bytes // 4)
        return self.spills.pack(limit_bytes, self._note_send_limit(), now_s)

    def flood_notes(self, now_s: float) -> list[Send]:
        """Return a datagram of spill notes, if many are pending and the budget is ample."""
        limit_bytes = min(self.headroom_bytes - _NOTES_RESERVE_BYTES, _NOTES_DATAGRAM_BYTES)
        peers = self._local_peers()[:1]
        if not peers or limit_bytes < _MIN_UPDATES_BYTES:
            return []
        if self.spills.pending_count(self._note_send_limit()) < _FLOOD_MIN_NOTES:
            return []
        notes = self.spills.pack(limit_bytes, self._note_send_limit(), now_s)
        self.headroom_bytes -= len(notes) + _HEADER_BYTES
        address = self._routers.get(peers[0]).address
        return [Send(peers[0], address, News(spills=notes), Urgency.ROUTINE)]

    def _note_send_limit(self) -> int:
        """Return how many times this router forwards a note."""
        routers = sum(len(self._routers.ring(domain)) for domain in self._near_domains)
        sends = transmissions_limit(routers, self._parameters.note_transmissions_factor)
        return sends + 2 * (len(self._near_domains) - 1)

    def _overdue_keys(self, now_s: float) -> bytes:
        """Return the keys of targets that have not been renewed for a long time."""
        keys = self._targets.overdue_keys(self._parameters.overdue_share, now_s)
        self._random.shuffle(keys)
        return pack_keys(keys[: self._parameters.overdue_limit])

    def _piggyback(
        self, record: RouterRecord | None, is_local: bool, notes: bool, now_s: float
    ) -> News | None:
        """Return piggybacked updates, including any suspicion that the peer has to refute."""
        routers = len(self._routers.ring(self._routers.own_record.failure_domain))
        limit = transmissions_limit(routers, self._parameters.rumour_transmissions_factor)
        limit_bytes = unpacked_bytes(self._parameters.piggyback_bytes)
        items = self.rumours.take_piggyback(limit_bytes, limit, now_s, is_local)
        if record is not None and record.state != RouterState.ALIVE and record not in items:
            items.append(record)
        spills = self._spill_notes(record, now_s) if notes else b""
        return group_updates(items)._replace(spills=spills) if items or spills else None
