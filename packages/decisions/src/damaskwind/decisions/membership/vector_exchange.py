"""Select the loads and renewals for outgoing load vectors, and merge received vectors.

The vector covers the targets of the local and the near failure domains, since
placement considers these first. Loads are sent freshest first: a peer rarely has a fresh
load already, but nearly always an old one. A renewal is sent a few times.
"""

from damaskwind.decisions.membership.load_vector import (
    LOAD_BITS,
    MAX_VECTOR_AGE_S,
    RENEWAL_BITS,
    Layout,
    VectorLoad,
    VectorRenewal,
    build_layout,
    decode_vector,
    encode_vector,
    header_size_bytes,
)
from damaskwind.decisions.membership.targets import LeasedTargetTable

__all__ = ["VectorExchange"]

RENEWALS_SHARE = 0.25
MAX_LOAD_AGE_S = 6.0
MATCH_SMOOTHING = 0.2
MISMATCH_TTL_S = 4.0
MIN_MATCH_SHARE = 0.75
MIN_FRESHNESS_GAIN_S = 0.2


class VectorExchange:
    """The load vectors that one router sends and receives.

    `match_share` is the moving average share of groups that match in received vectors.
    """

    def __init__(self, targets: LeasedTargetTable, domains: frozenset[str]) -> None:
        self.match_share = 0.0
        self._targets = targets
        self._domains = domains
        self._layout: Layout | None = None
        self._members_version = -1
        self._mismatch_until_s: dict[int, float] = {}

    @property
    def is_usable(self) -> bool:
        """Tell whether most groups match at peers, so that positions identify targets."""
        return self.match_share >= MIN_MATCH_SHARE

    def pack(self, limit_bytes: int, max_sends: int, now_s: float) -> bytes:
        """Return a vector within the limit, or `b""` if there is nothing to send."""
        layout = self._current_layout()
        headroom_bits = 8 * (limit_bytes - header_size_bytes(layout))
        if headroom_bits < 0 or not any(layout.groups):
            return b""
        renewals = self._renewals(
            int(headroom_bits * RENEWALS_SHARE) // RENEWAL_BITS, max_sends, now_s
        )
        headroom_bits -= RENEWAL_BITS * len(renewals)
        loads = self._loads(headroom_bits // LOAD_BITS, now_s)
        return encode_vector(layout, loads, renewals)

    def merge(self, vector: bytes, now_s: float) -> list[str]:
        """Merge a vector; return the targets whose load became fresher."""
        if not vector:
            return []
        layout = self._current_layout()
        loads, renewals, mismatched = decode_vector(layout, vector)
        matching_share = 1.0 - len(mismatched) / len(layout.groups)
        self.match_share += MATCH_SMOOTHING * (matching_share - self.match_share)
        self._targets.loads_by_vector = self.is_usable
        for group in mismatched:
            self._mismatch_until_s[group] = now_s + MISMATCH_TTL_S
        for renewal in renewals:
            self._merge_renewal(renewal, now_s)
        return [target_id for load in loads for target_id in self._merge_load(load, now_s)]

    def _merge_load(self, load: VectorLoad, now_s: float) -> list[str]:
        """Merge one load; return its target's id if it was fresher."""
        target_id = self._targets.by_load_key.get(load.key)
        if target_id is None or load.age_s >= MAX_VECTOR_AGE_S:
            return []
        measured_at_s = now_s - load.age_s
        is_fresher = self._targets.merge_observed_load(
            target_id, load.load_tokens, measured_at_s, MIN_FRESHNESS_GAIN_S
        )
        return [target_id] if is_fresher else []

    def _merge_renewal(self, renewal: VectorRenewal, now_s: float) -> None:
        """Merge one renewal; one that is already known needs one transmission less."""
        target_id = self._targets.by_load_key.get(renewal.key)
        if target_id is not None and renewal.age_s < MAX_VECTOR_AGE_S:
            self._targets.merge_renewal(target_id, renewal.sequence, now_s - renewal.age_s)

    def _current_layout(self) -> Layout:
        """Return the layout of the current targets."""
        if self._layout is None or self._members_version != self._targets.members_version:
            self._members_version = self._targets.members_version
            live = self._targets.live.values()
            keys = [t.load_key for t in live if t.record.failure_domain in self._domains]
            self._layout = build_layout(keys)
        return self._layout

    def _loads(self, count: int, now_s: float) -> dict[int, VectorLoad]:
        """Return the freshest loads by key."""
        candidates = []
        for target in self._targets.live.values():
            age_s = now_s - target.measured_at_s
            if age_s < MAX_LOAD_AGE_S and target.record.failure_domain in self._domains:
                candidates.append(VectorLoad(target.load_key, target.record.load_tokens, age_s))
        candidates.sort(key=lambda load: load.age_s)
        return {load.key: load for load in candidates[: max(count, 0)]}

    def _renewals(self, count: int, max_sends: int, now_s: float) -> dict[int, VectorRenewal]:
        """Return the least-sent renewals by key, and count the transmissions."""
        candidates = []
        for target_id, target in self._targets.live.items():
            age_s = now_s - target.renewed_at_s
            is_covered = target.record.failure_domain in self._domains
            if is_covered and age_s < MAX_VECTOR_AGE_S and target.transmissions < max_sends:
                candidates.append((target.transmissions, age_s, target_id))
        candidates.sort()
        chosen = {}
        for _, age_s, target_id in candidates[: max(count, 0)]:
            target = self._targets.live[target_id]
            target.transmissions += 1
            sequence = target.record.renewed_sequence
            chosen[target.load_key] = VectorRenewal(target.load_key, sequence, age_s)
        return chosen

    def uncovered_targets(self, now_s: float) -> set[str]:
        """Return the targets that vectors don't cover: their groups differ at peers."""
        layout = self._current_layout()
        mismatched = [group for group, until_s in self._mismatch_until_s.items() if until_s > now_s]
        target_ids = self._targets.by_load_key
        groups = [layout.groups[group] for group in mismatched if group < len(layout.groups)]
        return {target_ids[key] for group in groups for key in group if key in target_ids}
