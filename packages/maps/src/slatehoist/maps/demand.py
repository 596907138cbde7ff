"""Estimate of the demand for experts, from the counts that ranks report."""

from collections.abc import Iterable, Sequence

#: Length of a bucket in seconds: about one pass.
BUCKET_S = 0.1
#: Minimum share of a set's tokens for an expert's count to be sent to the coordinator.
#: The dozen experts above it have four fifths of the tokens.
MIN_SENT_SHARE = 0.01
#: Fraction of the size of the bucket before it below which the newest bucket counts as
#: incomplete. One pass of a whole group is enough to show a change of demand, but the
#: requests of a few ranks are not.
MIN_BUCKET_RATIO = 0.5
#: Number of buckets of steady demand from which older ones lose weight.
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
    """Counts of a span of time by index; only those that are not 0."""

    def __init__(self) -> None:
        self.counts: dict[int, float] = {}

    def add(self, indexes: Iterable[int], counts: Iterable[float]) -> None:
        known = self.counts
        for index, count in zip(indexes, counts, strict=True):
            known[index] = known.get(index, 0.0) + count

    def scale(self, factor: float) -> None:
        self.counts = {index: c * factor for index, c in self.counts.items()}

    def totals(self, sets: int, experts: int) -> list[float]:
        """Return the sum of the counts of each set."""
        totals = [0.0] * sets
        for index, count in self.counts.items():
            totals[index // experts] += count
        return totals


class DemandWindow:
    """Sliding window that estimates the demand since its last change.

    Counts are collected in buckets. Buckets that show the same demand are added up; one
    whose demand differs replaces them.

    Parameters
    ----------
    sets, experts : int
        Number of sets, and of experts in each set.
    """

    def __init__(self, sets: int, experts: int) -> None:
        self._sets = sets
        self._experts = experts
        self.clear()

    def clear(self) -> None:
        """Remove all counts."""
        self._newest = _Bucket()
        self._began_at = float("-inf")
        #: Sum of the buckets before that show the same demand, and their number.
        self._steady = _Bucket()
        self._steady_buckets = 0
        #: Size of the bucket before the newest one.
        self._usual_size = 0.0

    @property
    def size(self) -> int:
        """Return the number of counts that a rank reports."""
        return self._sets * self._experts

    def add(self, delta: Sequence[float], now: float) -> None:
        """Add the counts of one rank since its previous counts."""
        if len(delta) != self.size:
            raise ValueError(
                f"{len(delta)} counts instead of {self._sets} x {self._experts}"
            )
        indexes = [index for index, count in enumerate(delta) if count]
        self._begin_bucket(now)
        self._newest.add(indexes, (delta[index] for index in indexes))

    def add_pairs(self, pairs: Sequence[int], now: float) -> None:
        """Add counts that `to_pairs` encoded.

        Raises
        ------
        ValueError
            If an index is out of range or a count is missing.
        """
        indexes, counts = pairs[::2], pairs[1::2]
        if len(indexes) != len(counts):
            raise ValueError(f"{len(indexes)} indexes and {len(counts)} counts")
        if indexes and not 0 <= min(indexes) <= max(indexes) < self.size:
            raise ValueError(f"index is out of range for {self.size} counts")
        self._begin_bucket(now)
        self._newest.add(indexes, counts)

    def _begin_bucket(self, now: float) -> None:
        """Begin a new bucket if the newest one is full."""
        if now - self._began_at < BUCKET_S:
            return
        newest, self._newest = self._newest, _Bucket()
        self._began_at = now
        if not newest.counts:
            return
        self._usual_size = sum(newest.counts.values())
        if not self._steady.counts or self._differ(self._steady, newest):
            self._steady, self._steady_buckets = newest, 1
            return
        if self._steady_buckets >= MAX_BUCKETS:
            self._steady.scale(1 - 1 / MAX_BUCKETS)
        self._steady.add(newest.counts.keys(), newest.counts.values())
        self._steady_buckets += 1

    def estimate(self) -> list[list[float]] | None:
        """Return the share of each expert by set, or None without counts."""
        steady, newest = self._steady, self._newest
        if not steady.counts:
            return self._shares(newest) if newest.counts else None
        size = sum(newest.counts.values())
        if size < MIN_BUCKET_RATIO * self._usual_size:
            # The newest bucket has the counts of a few ranks only.
            return self._shares(steady)
        if self._differ(steady, newest):
            return self._shares(newest)
        total = _Bucket()
        for bucket in (steady, newest):
            total.add(bucket.counts.keys(), bucket.counts.values())
        return self._shares(total)

    def _shares(self, bucket: _Bucket) -> list[list[float]]:
        totals = bucket.totals(self._sets, self._experts)
        shares = [[0.0] * self._experts for _ in range(self._sets)]
        for index, count in bucket.counts.items():
            number, expert = divmod(index, self._experts)
            shares[number][expert] = count / totals[number]
        return shares

    def _differ(self, older: _Bucket, newer: _Bucket) -> bool:
        """Return True if the demand of any set differs by more than `CHANGE_RATIO`."""
        before = [t or 1.0 for t in older.totals(self._sets, self._experts)]
        after = [t or 1.0 for t in newer.totals(self._sets, self._experts)]
        moved = [0.0] * self._sets
        for index, count in older.counts.items():
            number = index // self._experts
            share = newer.counts.get(index, 0.0) / after[number]
            moved[number] += abs(count / before[number] - share)
        for index, count in newer.counts.items():
            if index not in older.counts:
                number = index // self._experts
                moved[number] += count / after[number]
        return max(moved) / 2 > CHANGE_RATIO
