"""Estimate of the demand for experts, from the counts that ranks report."""

from collections import deque
from collections.abc import Sequence

#: Length of a bucket in seconds: about one pass.
BUCKET_S = 0.1
#: Minimum share of a set's tokens for an expert's count to be sent to the coordinator.
#: The dozen experts above it have four fifths of the tokens.
MIN_SENT_SHARE = 0.01
#: Minimum number of buckets of an estimate. One pass of a whole group is enough to show
#: a change of demand; the delay of waiting for a second pass costs more than its
#: information is worth.
MIN_BUCKETS = 1
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
        self._buckets: deque[list[float]] = deque(maxlen=MAX_BUCKETS)
        self._bucket_at = float("-inf")

    def add(self, delta: Sequence[float], now: float) -> None:
        """Add the counts of one rank since its previous counts."""
        if len(delta) != self._sets * self._experts:
            raise ValueError(
                f"{len(delta)} counts instead of {self._sets} x {self._experts}"
            )
        if now - self._bucket_at >= BUCKET_S:
            self._buckets.append([0.0] * len(delta))
            self._bucket_at = now
        bucket = self._buckets[-1]
        for index, value in enumerate(delta):
            if value:
                bucket[index] += value

    @property
    def size(self) -> int:
        """Return the number of counts that a rank reports."""
        return self._sets * self._experts

    def clear(self) -> None:
        """Remove all counts."""
        self._buckets.clear()
        self._bucket_at = float("-inf")

    def estimate(self) -> list[list[float]] | None:
        """Return the share of each expert by set, or None with too few buckets."""
        nonempty = [bucket for bucket in self._buckets if any(bucket)]
        if len(nonempty) < MIN_BUCKETS:
            return None
        total = [sum(values) for values in zip(*nonempty[-MIN_BUCKETS:], strict=True)]
        end = len(nonempty) - MIN_BUCKETS
        while end > 0:
            start = max(0, end - MIN_BUCKETS)
            older = [sum(values) for values in zip(*nonempty[start:end], strict=True)]
            if self._differ(older, total):
                break
            total = [a + b for a, b in zip(total, older, strict=True)]
            end = start
        return [self._shares(total, index) for index in range(self._sets)]

    def _shares(self, counts: Sequence[float], index: int) -> list[float]:
        set_counts = counts[index * self._experts : (index + 1) * self._experts]
        total = sum(set_counts)
        return [value / total for value in set_counts] if total else list(set_counts)

    def _differ(self, older: Sequence[float], newer: Sequence[float]) -> bool:
        """Return True if the demand of any set differs by more than `CHANGE_RATIO`."""
        for index in range(self._sets):
            before, after = self._shares(older, index), self._shares(newer, index)
            moved = sum(abs(a - b) for a, b in zip(before, after, strict=True)) / 2
            if moved > CHANGE_RATIO:
                return True
        return False
