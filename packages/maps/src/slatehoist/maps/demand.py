"""Demand for experts, from the counts that ranks report."""

from collections import deque
from collections.abc import Sequence

#: Length of a bucket in seconds: about one pass.
BUCKET_S = 0.1
#: Share of a set's tokens from which on an expert's count is sent to the coordinator.
#: The dozen experts above it have four fifths of the tokens.
SENT_SHARE = 0.01
#: Buckets that an estimate uses at least. One pass of a whole group shows a change of
#: demand well enough; waiting for a second costs more than it tells.
LEAST_BUCKETS = 1
#: Buckets that an estimate uses at most while demand stays the same.
MOST_BUCKETS = 12
#: Part of the demand of a set that must differ for it to count as another demand.
#: Neighbouring buckets of steady demand differ by up to a third.
CHANGE_RATIO = 0.35


def to_pairs(counts: Sequence[int], sets: int) -> list[int]:
    """Give the larger counts as index and count in turn, to send them in few bytes."""
    experts = len(counts) // sets
    pairs = []
    for start in range(0, len(counts), experts):
        part = counts[start : start + experts]
        least = max(1, sum(part) * SENT_SHARE)
        for index, count in enumerate(part, start):
            if count >= least:
                pairs += (index, count)
    return pairs


def from_pairs(pairs: Sequence[int], size: int) -> list[int]:
    """Undo `to_pairs`; counts that were not sent are 0.

    Raises
    ------
    ValueError
        If an index lies outside.
    """
    counts = [0] * size
    for index, count in zip(pairs[::2], pairs[1::2], strict=True):
        if not 0 <= index < size:
            raise ValueError(f"index {index} of {size} counts")
        counts[index] = count
    return counts


class DemandWindow:
    """Estimate the demand over the time for which it has stayed the same.

    Parameters
    ----------
    sets, experts : int
    """

    def __init__(self, sets: int, experts: int) -> None:
        self._sets = sets
        self._experts = experts
        self._buckets: deque[list[float]] = deque(maxlen=MOST_BUCKETS)
        self._bucket_at = float("-inf")

    def add(self, delta: Sequence[float], now: float) -> None:
        """Count what one rank's requests chose since its last report."""
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
        """Number of counts in a reading."""
        return self._sets * self._experts

    def clear(self) -> None:
        """Forget everything."""
        self._buckets.clear()
        self._bucket_at = float("-inf")

    def estimate(self) -> list[list[float]] | None:
        """Give the share of each expert by set; None if too little is known."""
        full = [bucket for bucket in self._buckets if any(bucket)]
        if len(full) < LEAST_BUCKETS:
            return None
        total = [sum(values) for values in zip(*full[-LEAST_BUCKETS:], strict=True)]
        end = len(full) - LEAST_BUCKETS
        while end > 0:
            start = max(0, end - LEAST_BUCKETS)
            older = [sum(values) for values in zip(*full[start:end], strict=True)]
            if self._differ(older, total):
                break
            total = [a + b for a, b in zip(total, older, strict=True)]
            end = start
        return [self._share(total, index) for index in range(self._sets)]

    def _share(self, counts: Sequence[float], index: int) -> list[float]:
        part = counts[index * self._experts : (index + 1) * self._experts]
        total = sum(part)
        return [value / total for value in part] if total else list(part)

    def _differ(self, older: Sequence[float], newer: Sequence[float]) -> bool:
        for index in range(self._sets):
            before, after = self._share(older, index), self._share(newer, index)
            moved = sum(abs(a - b) for a, b in zip(before, after, strict=True)) / 2
            if moved > CHANGE_RATIO:
                return True
        return False
