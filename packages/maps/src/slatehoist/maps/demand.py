"""Estimate of the demand for experts, from the counts that ranks report."""

from collections import deque
from collections.abc import Sequence

#: Length of a bucket in seconds: about one pass.
BUCKET_S = 0.1
#: Minimum share of a set's tokens for an expert's count to be sent to the coordinator.
#: The dozen experts above it have four fifths of the tokens.
MIN_SENT_SHARE = 0.01
#: Fraction of the size of the bucket before it below which the newest bucket counts as
#: incomplete. One pass of a whole group is enough to show a change of demand, but the
#: requests of a few ranks are not.
MIN_BUCKET_RATIO = 0.5
#: Maximum number of buckets of an estimate. It is reached only while demand is steady.
MAX_BUCKETS = 12
#: Fraction of a set's demand that must have moved to other experts for the demand to
#: count as changed. Adjacent buckets of steady demand differ by up to a third.
CHANGE_RATIO = 0.35


def to_pairs(counts: Sequence[int], sets: int) -> list[int]:
    """Return the larger counts as a flat list of index and count, to save bandwidth."""
    experts = len(counts) // sets
    pairs = []
    for start in range(0, len(counts), experts):
        set_counts = counts[start : start + experts]
        min_count = max(1, sum(set_counts) * MIN_SENT_SHARE)
        for index, count in enumerate(set_counts, start):
            if count >= min_count:
                pairs += (index, count)
    return pairs


def from_pairs(pairs: Sequence[int], size: int) -> list[int]:
    """Return the counts that `to_pairs` encoded; those that were not sent are 0.

    Raises
    ------
    ValueError
        If an index is out of range.
    """
    counts = [0] * size
    for index, count in zip(pairs[::2], pairs[1::2], strict=True):
        if not 0 <= index < size:
            raise ValueError(f"index {index} is out of range for {size} counts")
        counts[index] = count
    return counts


class _Bucket:
    """Counts of a short span of time, by index; only those that are not 0."""

    def __init__(self, sets: int) -> None:
        self.counts: dict[int, float] = {}
        self.totals = [0.0] * sets

    def add(self, index: int, count: float, experts: int) -> None:
        self.counts[index] = self.counts.get(index, 0.0) + count
        self.totals[index // experts] += count

    def merged(self, other: "_Bucket", experts: int) -> "_Bucket":
        """Return the sum of two buckets."""
        total = _Bucket(len(self.totals))
        total.counts = dict(self.counts)
        total.totals = list(self.totals)
        for index, count in other.counts.items():
            total.add(index, count, experts)
        return total

    @property
    def size(self) -> float:
        return sum(self.totals)


class DemandWindow:
    """Sliding window that estimates the demand since its last change.

    Counts are collected in buckets. An estimate sums the newest buckets, and stops
    before the first older one whose demand differs.

    Parameters
    ----------
    sets, experts : int
        Number of sets, and of experts in each set.
    """

    def __init__(self, sets: int, experts: int) -> None:
        self._sets = sets
        self._experts = experts
        self._buckets: deque[_Bucket] = deque(maxlen=MAX_BUCKETS)
        self._bucket_at = float("-inf")

    def add(self, delta: Sequence[float], now: float) -> None:
        """Add the counts of one rank since its previous counts."""
        if len(delta) != self.size:
            raise ValueError(
                f"{len(delta)} counts instead of {self._sets} x {self._experts}"
            )
        bucket = self._newest_bucket(now)
        for index, count in enumerate(delta):
            if count:
                bucket.add(index, count, self._experts)

    def add_pairs(self, pairs: Sequence[int], now: float) -> None:
        """Add counts that `to_pairs` encoded.

        Raises
        ------
        ValueError
            If an index is out of range or a count is missing.
        """
        entries = list(zip(pairs[::2], pairs[1::2], strict=True))
        outside = [index for index, _ in entries if not 0 <= index < self.size]
        if outside:
            raise ValueError(f"index {outside[0]} is out of range for {self.size}")
        bucket = self._newest_bucket(now)
        for index, count in entries:
            bucket.add(index, count, self._experts)

    def _newest_bucket(self, now: float) -> _Bucket:
        if now - self._bucket_at >= BUCKET_S:
            self._buckets.append(_Bucket(self._sets))
            self._bucket_at = now
        return self._buckets[-1]

    @property
    def size(self) -> int:
        """Return the number of counts that a rank reports."""
        return self._sets * self._experts

    def clear(self) -> None:
        """Remove all counts."""
        self._buckets.clear()
        self._bucket_at = float("-inf")

    def estimate(self) -> list[list[float]] | None:
        """Return the share of each expert by set, or None without counts."""
        buckets = [bucket for bucket in self._buckets if bucket.counts]
        if not buckets:
            return None
        total = buckets.pop()
        if buckets and total.size < MIN_BUCKET_RATIO * buckets[-1].size:
            # The newest bucket has the counts of a few ranks only.
            total = total.merged(buckets.pop(), self._experts)
        while buckets and not self._differ(buckets[-1], total):
            total = total.merged(buckets.pop(), self._experts)
        shares = [[0.0] * self._experts for _ in range(self._sets)]
        for index, count in total.counts.items():
            number, expert = divmod(index, self._experts)
            shares[number][expert] = count / total.totals[number]
        return shares

    def _differ(self, older: _Bucket, newer: _Bucket) -> bool:
        """Return True if the demand of any set differs by more than `CHANGE_RATIO`."""
        moved = [0.0] * self._sets
        for index in older.counts.keys() | newer.counts.keys():
            number = index // self._experts
            before = older.counts.get(index, 0.0) / (older.totals[number] or 1.0)
            after = newer.counts.get(index, 0.0) / (newer.totals[number] or 1.0)
            moved[number] += abs(before - after)
        return max(moved) / 2 > CHANGE_RATIO
